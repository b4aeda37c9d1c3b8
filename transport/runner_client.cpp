#include "transport/runner_client.h"

#include "relay/bounded_parse.h"
#include "relay/head_lines.h"
#include "relay/response_validity.h"
#include "state/bounded_json.h"
#include "state/pool.h"
#include "transport/net_thread.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <limits>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace sardinelb {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using nlohmann::json;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::seconds connectTimeout(2);
// Longer than the agents' own deadlines; only frees the connection to a runner that no longer sends anything.
constexpr std::chrono::seconds silenceTimeout(120);
constexpr std::chrono::milliseconds probeInterval(500);
constexpr std::chrono::seconds probeTimeout(2);
// Consecutive failed probes after which the runner counts as unreachable.
constexpr int maxProbeFailures = 3;
constexpr std::size_t readBlockBytes = 16384;
// Interval of asking whether received text still waits to be processed.
constexpr std::chrono::milliseconds behindPollInterval(5);
// A token takes far less; the limit keeps an endless line from exhausting memory.
constexpr std::size_t maxLineBytes = std::size_t { 64 } * 1024;
constexpr std::uint64_t maxServiceResponseBytes = 4U << 20U;
// Responses to a probe and to a cancellation, whose bodies are not used.
constexpr std::uint64_t maxControlResponseBytes = 64U << 10U;
// Interim responses (status 1xx) that may precede the answer of a runner.
constexpr int maxInterimResponses = 16;

std::string callId(const attempt_id& attempt, std::uint32_t call)
{
    return attempt.request.value() + "/" + std::to_string(attempt.number) + "/" + std::to_string(call);
}

// The priority is negated: engines start the lowest value first, the queue the highest.
http::request<http::string_body> toModelRequest(const start_call_action& action)
{
    const submit_message& m = action.submit;
    const json body { { "id", callId(m.attempt, action.call) }, { "prompt", m.body },
        { "max_tokens", m.maxTokens }, { "priority", -action.priority }, { "resume_from", m.resumeFrom },
        { "seed", 0 } };
    http::request<http::string_body> request(http::verb::post, "/v1/generate", 11);
    request.set(http::field::content_type, "application/json");
    request.body() = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return request;
}

http::request<http::string_body> toServiceRequest(const start_call_action& action)
{
    const submit_message& m = action.submit;
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(m.method);
    request.target(m.target);
    request.set(http::field::content_type, "application/json");
    request.set("X-Request-Id", m.attempt.request.value());
    request.body() = m.body;
    return request;
}

// One line of a model's response stream.
struct model_line {
    std::optional<std::uint32_t> index;
    std::string token;
    bool done = false;
    token_usage usage;
};

bool isInterim(unsigned status)
{
    return status >= 100 && status < 200 && status != static_cast<unsigned>(http::status::switching_protocols);
}

// Whether the engine has refused the request before executing any of it.
bool isRefusal(unsigned status)
{
    return (status >= 400 && status < 500) || status == static_cast<unsigned>(http::status::service_unavailable);
}

// Whether the body is that of the runner without any coding. Requests accept none, and callers are not told of one.
bool isBodyDecoded(const http::fields& fields)
{
    const auto coding = fields[http::field::content_encoding];
    return isTransferCodingDecoded(fields) && (coding.empty() || beast::iequals(coding, "identity"));
}

// Reads until the buffer has a whole head. Fails with bad_field if a line of it is folded, which the parser would accept.
asio::awaitable<beast::error_code> receiveHead(beast::tcp_stream& stream, beast::flat_buffer& buffer)
{
    const auto received = [&buffer] { return std::string_view(static_cast<const char*>(buffer.data().data()), buffer.size()); };
    while (!headBytes(received())) {
        if (buffer.size() == buffer.max_size())
            co_return beast::error_code(http::error::header_limit);
        auto [error, bytes] = co_await stream.async_read_some(buffer.prepare(buffer.max_size() - buffer.size()), asTuple);
        if (error)
            co_return error;
        buffer.commit(bytes);
    }
    co_return hasFoldedLine(received()) ? beast::error_code(http::error::bad_field) : beast::error_code();
}

// Reads the head of the answer and skips the interim responses before it. Leaves the parser ready for the body.
template <typename Body>
asio::awaitable<beast::error_code> readHead(beast::tcp_stream& stream, beast::flat_buffer& buffer,
    std::optional<http::response_parser<Body>>& parser, boost::optional<std::uint64_t> bodyLimit, bool hasBody)
{
    for (int interim = 0; interim <= maxInterimResponses; ++interim) {
        parser.emplace();
        parser->skip(!hasBody);
        parser->body_limit(bodyLimit);
        if (const auto failed = co_await receiveHead(stream, buffer))
            co_return failed;
        auto [error, bytes] = co_await http::async_read_header(stream, buffer, *parser, asTuple);
        if (error)
            co_return error;
        if (!isInterim(parser->get().result_int()))
            co_return isBodyDecoded(parser->get()) ? beast::error_code() : beast::error_code(http::error::bad_transfer_encoding);
    }
    co_return beast::error_code(http::error::header_limit);
}

token_count usageCount(const json& line, const char* field)
{
    const json usage = line.value("usage", json());
    const json count = usage.is_object() ? usage.value(field, json()) : json();
    return token_count(count.is_number_integer() ? count.get<std::int64_t>() : 0);
}

std::optional<model_line> parseLine(const std::string& text)
{
    const json line = parseBoundedJson(text);
    if (!line.is_object())
        return std::nullopt;
    model_line parsed;
    if (line.contains("index") && line["index"].is_number_unsigned()
        && line["index"] <= std::numeric_limits<std::uint32_t>::max() && line.contains("token")
        && line["token"].is_string()) {
        parsed.index = line["index"].get<std::uint32_t>();
        parsed.token = line["token"].get<std::string>();
        return parsed;
    }
    if (!line.value("done", json(false)).is_boolean() || !line.value("done", json(false)).get<bool>())
        return std::nullopt;
    parsed.done = true;
    parsed.usage = { usageCount(line, "prompt_tokens"), usageCount(line, "completion_tokens") };
    return parsed;
}

}

struct runner_client::implementation : std::enable_shared_from_this<runner_client::implementation> {
    // One call in progress.
    struct active_call {
        active_call(asio::io_context& io, const start_call_action& started)
            : action(started)
            , nextToken(started.submit.resumeFrom)
            , stream(io)
            , resumed(io)
        {
        }

        start_call_action action;
        // Token index that the next line must have.
        std::uint32_t nextToken;
        beast::tcp_stream stream;
        asio::steady_timer resumed;
        bool isPaused = false;
        bool isStopped = false;
    };

    implementation(asio::io_context& context, socket_address runnerAddress, hooks callbacks)
        : io(context)
        , address(std::move(runnerAddress))
        , endpoint(asio::ip::make_address(address.ip), address.port)
        , handlers(std::move(callbacks))
    {
    }

    asio::awaitable<void> runCall(std::shared_ptr<active_call>);
    asio::awaitable<bool> sendRequest(active_call&);
    asio::awaitable<void> readServiceResponse(active_call&);
    asio::awaitable<void> readModelStream(active_call&);
    static bool isExpected(const active_call&, std::uint32_t index);
    bool handleLines(active_call&, std::string& pending, bool& done);
    void reportFailure(const active_call&, call_failure, const std::string& detail);
    asio::awaitable<void> cancelAtRunner(std::string name);
    asio::awaitable<void> probeLoop(std::string target);
    asio::awaitable<bool> probe(std::string target);

    asio::io_context& io;
    socket_address address;
    asio::ip::tcp::endpoint endpoint;
    hooks handlers;
    std::unordered_map<std::string, std::shared_ptr<active_call>> calls;
};

asio::awaitable<void> runner_client::implementation::runCall(std::shared_ptr<active_call> call)
{
    const auto self = shared_from_this();
    if (co_await sendRequest(*call)) {
        if (call->action.submit.kind == pool_kind::Service)
            co_await readServiceResponse(*call);
        else
            co_await readModelStream(*call);
    }
    calls.erase(callId(call->action.submit.attempt, call->action.call));
}

asio::awaitable<bool> runner_client::implementation::sendRequest(active_call& call)
{
    call.stream.expires_after(connectTimeout);
    if (auto [error] = co_await call.stream.async_connect(endpoint, asTuple); error) {
        reportFailure(call, call_failure::Unreachable, "runner cannot be reached: " + error.message());
        co_return false;
    }
    if (call.isStopped)
        co_return false;
    boost::system::error_code ignored;
    call.stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    auto request = call.action.submit.kind == pool_kind::Service ? toServiceRequest(call.action)
                                                                 : toModelRequest(call.action);
    request.set(http::field::host, toString(address));
    request.prepare_payload();
    call.stream.expires_after(silenceTimeout);
    if (auto [error, bytes] = co_await http::async_write(call.stream, request, asTuple); error) {
        reportFailure(call, call_failure::Broken, "connection to the runner was lost: " + error.message());
        co_return false;
    }
    co_return true;
}

asio::awaitable<void> runner_client::implementation::readServiceResponse(active_call& call)
{
    std::optional<http::response_parser<http::string_body>> parser;
    beast::flat_buffer buffer { maxFramingBytes };
    const bool hasBody = call.action.submit.method != "HEAD";
    auto failed = co_await readHead(call.stream, buffer, parser, maxServiceResponseBytes, hasBody);
    if (!failed)
        failed = std::get<0>(co_await http::async_read(call.stream, buffer, *parser, asTuple));
    if (failed) {
        reportFailure(call, call_failure::Broken, "no complete response from the runner: " + failed.message());
        co_return;
    }
    if (call.isStopped)
        co_return;
    const auto& message = parser->get();
    if (!isFinalStatus(message.result_int())) {
        reportFailure(call, call_failure::Broken, "runner answered with status " + std::to_string(message.result_int()));
        co_return;
    }
    handlers.onServiceAnswer(call.action.submit.attempt, call.action.call, static_cast<int>(message.result_int()),
        std::string(message[http::field::content_type]), message.body());
}

asio::awaitable<void> runner_client::implementation::readModelStream(active_call& call)
{
    std::optional<http::response_parser<http::buffer_body>> parser;
    beast::flat_buffer buffer { maxFramingBytes };
    if (const auto error = co_await readHead(call.stream, buffer, parser, boost::none, true); error) {
        reportFailure(call, call_failure::Broken, "no response from the runner: " + error.message());
        co_return;
    }
    const unsigned status = parser->get().result_int();
    if (isRefusal(status)) {
        reportFailure(call, call_failure::NotExecuted, "runner refused the request with status " + std::to_string(status));
        co_return;
    }
    if (status != static_cast<unsigned>(http::status::ok)) {
        reportFailure(call, call_failure::Broken, "runner answered with status " + std::to_string(status));
        co_return;
    }
    std::string pending;
    std::array<char, readBlockBytes> block {};
    bool done = false;
    while (!done && !parser->is_done()) {
        while ((call.isPaused || handlers.isBehind()) && !call.isStopped) {
            call.resumed.expires_at(call.isPaused ? std::chrono::steady_clock::time_point::max() : std::chrono::steady_clock::now() + behindPollInterval);
            co_await call.resumed.async_wait(asTuple);
        }
        parser->get().body().data = block.data();
        parser->get().body().size = block.size();
        call.stream.expires_after(silenceTimeout);
        auto [error, bytes] = co_await http::async_read_some(call.stream, buffer, *parser, asTuple);
        if (call.isStopped)
            co_return;
        if (error && error != http::error::need_buffer) {
            reportFailure(call, call_failure::Broken, "response stream of the runner was interrupted: " + error.message());
            co_return;
        }
        pending.append(block.data(), block.size() - parser->get().body().size);
        if (!handleLines(call, pending, done))
            co_return;
        if (pending.size() > maxLineBytes) {
            reportFailure(call, call_failure::Broken, "runner sent a line of more than 65536 bytes");
            co_return;
        }
    }
    if (!done)
        reportFailure(call, call_failure::Broken, "runner ended its response stream early");
}

bool runner_client::implementation::isExpected(const active_call& call, std::uint32_t index)
{
    return index == call.nextToken && index < call.action.submit.maxTokens;
}

// Processes the complete lines in `pending`, up to the last line of the stream. Returns false if the call has failed.
bool runner_client::implementation::handleLines(active_call& call, std::string& pending, bool& done)
{
    const attempt_id& attempt = call.action.submit.attempt;
    std::uint32_t firstToken = 0;
    std::uint32_t tokens = 0;
    std::string bytes;
    std::optional<token_usage> usage;
    std::size_t start = 0;
    for (std::size_t end = pending.find('\n'); end != std::string::npos && !usage; end = pending.find('\n', start)) {
        const std::string text = pending.substr(start, end - start);
        start = end + 1;
        if (text.empty())
            continue;
        const auto line = parseLine(text);
        if (!line || (line->index && !isExpected(call, *line->index))) {
            reportFailure(call, call_failure::Broken, "runner sent an unexpected line");
            return false;
        }
        if (line->index) {
            firstToken = tokens == 0 ? *line->index : firstToken;
            ++tokens;
            ++call.nextToken;
            bytes += line->token;
        }
        if (line->done)
            usage = line->usage;
    }
    pending.erase(0, start);
    if (tokens > 0)
        handlers.onTokens(attempt, call.action.call, firstToken, tokens, std::move(bytes));
    if (usage) {
        done = true;
        handlers.onCallCompleted(attempt, call.action.call, *usage);
    }
    return true;
}

void runner_client::implementation::reportFailure(const active_call& call, call_failure failure, const std::string& detail)
{
    if (!call.isStopped)
        handlers.onCallFailed(call.action.submit.attempt, call.action.call, failure, detail);
}

asio::awaitable<void> runner_client::implementation::cancelAtRunner(std::string name)
{
    const auto self = shared_from_this();
    beast::tcp_stream stream(io);
    stream.expires_after(connectTimeout);
    if (auto [error] = co_await stream.async_connect(endpoint, asTuple); error)
        co_return;
    http::request<http::string_body> request(http::verb::post, "/v1/cancel", 11);
    request.set(http::field::host, toString(address));
    request.set(http::field::connection, "close");
    request.set(http::field::content_type, "application/json");
    request.body() = json { { "id", name } }.dump();
    request.prepare_payload();
    if (auto [error, bytes] = co_await http::async_write(stream, request, asTuple); error)
        co_return;
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxControlResponseBytes);
    beast::flat_buffer buffer { maxFramingBytes };
    // The response is ignored; reading it avoids a connection reset at the runner.
    co_await http::async_read(stream, buffer, parser, asTuple);
}

asio::awaitable<bool> runner_client::implementation::probe(std::string target)
{
    beast::tcp_stream stream(io);
    stream.expires_after(probeTimeout);
    if (auto [error] = co_await stream.async_connect(endpoint, asTuple); error)
        co_return false;
    http::request<http::string_body> request(http::verb::get, target, 11);
    request.set(http::field::host, toString(address));
    request.set(http::field::connection, "close");
    if (auto [error, bytes] = co_await http::async_write(stream, request, asTuple); error)
        co_return false;
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxControlResponseBytes);
    beast::flat_buffer buffer { maxFramingBytes };
    auto [error, bytes] = co_await http::async_read(stream, buffer, parser, asTuple);
    // Any response shows that the runner is reachable; services need not implement the path, and may answer with a long page.
    co_return !error || error == http::error::body_limit;
}

asio::awaitable<void> runner_client::implementation::probeLoop(std::string target)
{
    const std::weak_ptr<implementation> weak = weak_from_this();
    asio::steady_timer timer(io);
    int failures = 0;
    while (const auto self = weak.lock()) {
        const bool reachable = co_await probe(target);
        failures = reachable ? 0 : failures + 1;
        if (reachable || failures >= maxProbeFailures)
            handlers.onProbeResult(reachable);
        timer.expires_after(probeInterval);
        co_await timer.async_wait(asTuple);
    }
}

runner_client::runner_client(net_thread& net, socket_address address, hooks callbacks)
    : m_implementation(std::make_shared<implementation>(net.context(), std::move(address), std::move(callbacks)))
{
}

runner_client::~runner_client() = default;

void runner_client::startProbing(const std::string& target)
{
    asio::co_spawn(m_implementation->io, m_implementation->probeLoop(target), asio::detached);
}

void runner_client::start(const start_call_action& action)
{
    const auto call = std::make_shared<implementation::active_call>(m_implementation->io, action);
    m_implementation->calls.insert_or_assign(callId(action.submit.attempt, action.call), call);
    asio::co_spawn(m_implementation->io, m_implementation->runCall(call), asio::detached);
}

void runner_client::stop(const attempt_id& attempt, std::uint32_t callNumber)
{
    const std::string name = callId(attempt, callNumber);
    const auto found = m_implementation->calls.find(name);
    if (found == m_implementation->calls.end())
        return;
    const auto call = found->second;
    call->isStopped = true;
    call->resumed.cancel();
    call->stream.close();
    if (call->action.submit.kind == pool_kind::Model)
        asio::co_spawn(m_implementation->io, m_implementation->cancelAtRunner(name), asio::detached);
}

void runner_client::setPaused(const attempt_id& attempt, std::uint32_t callNumber, bool isPaused)
{
    const auto found = m_implementation->calls.find(callId(attempt, callNumber));
    if (found == m_implementation->calls.end())
        return;
    found->second->isPaused = isPaused;
    if (!isPaused)
        found->second->resumed.cancel();
}

}
