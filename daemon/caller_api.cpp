#include "daemon/caller_api.h"

#include "daemon/caller_session.h"
#include "daemon/key_digest.h"
#include "daemon/metrics.h"
#include "protocol/chat_request.h"
#include "protocol/error_response.h"
#include "state/derived_limits.h"
#include "state/name_digest.h"
#include "transport/http_exchange.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace sardinelb {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotReady = 503;
constexpr std::size_t maxIdempotencyKeyBytes = 128;
// Prompts with the same first bytes are assumed to share a cached prefix.
constexpr std::size_t prefixBytes = 256;

std::string pathOf(const std::string& target)
{
    return target.substr(0, target.find('?'));
}

std::string retryAfterText(std::optional<duration> wait)
{
    if (!wait)
        return {};
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(*wait).count();
    return std::to_string(std::max<std::int64_t>(seconds, 1));
}

}

caller_api::caller_api(std::string idPrefix, std::size_t maxBufferedBytes, metrics& counters, hooks callbacks)
    : m_idPrefix(std::move(idPrefix))
    , m_maxBufferedBytes(maxBufferedBytes)
    , m_metrics(counters)
    , m_hooks(std::move(callbacks))
{
}

caller_api::~caller_api() = default;

void caller_api::setDirectory(std::shared_ptr<const directory> next)
{
    m_directory = std::move(next);
}

void caller_api::setReady(bool ready)
{
    m_isReady = ready;
}

std::size_t caller_api::openRequests() const
{
    return m_sessions.size();
}

request_id caller_api::nextId()
{
    return request_id(m_idPrefix + std::to_string(++m_lastRequestNumber));
}

void caller_api::handle(const std::shared_ptr<http_exchange>& exchange)
{
    const http_request& request = exchange->request();
    const std::string path = pathOf(request.target);
    if (path == "/healthz") {
        exchange->respond(statusOk, "text/plain", "ok\n");
        return;
    }
    if (path == "/readyz") {
        const bool ready = m_isReady && m_directory;
        exchange->respond(ready ? statusOk : statusNotReady, "text/plain", ready ? "ready\n" : "not ready\n");
        return;
    }
    if (!m_directory) {
        reject(*exchange, protocol_error { protocol_errc::Refused, "entry", "no configuration is known yet" });
        return;
    }
    const std::string key = bearerKey(request.authorization);
    const auto team = key.empty() ? std::nullopt : m_directory->names.findTeamByKeyDigest(keyDigest(key));
    if (!team) {
        reject(*exchange,
            protocol_error { protocol_errc::Unauthorized, "Authorization",
                "must be \"Bearer KEY\" with a key of a configured team" });
        return;
    }
    if (path == "/v1/chat/completions")
        handleChat(exchange, *team);
    else
        handleService(exchange, *team);
}

caller_request caller_api::requestFor(const http_exchange& exchange, const team_id& teamId)
{
    const team& caller = m_directory->config.teams.at(teamId);
    caller_request request;
    request.id = nextId();
    request.team = teamId;
    request.serviceClass = caller.terms.serviceClass;
    request.limits = limitsFor(caller.terms);
    request.idempotencyKey = exchange.request().idempotencyKey;
    return request;
}

void caller_api::handleChat(const std::shared_ptr<http_exchange>& exchange, const team_id& team)
{
    if (exchange->request().method != "POST") {
        reject(*exchange, protocol_error { protocol_errc::NotFound, "method", "use POST /v1/chat/completions" });
        return;
    }
    auto chat = parseChatRequest(exchange->request().body);
    if (!chat) {
        reject(*exchange, chat.error());
        return;
    }
    const auto model = m_directory->names.findModel(chat.value().model);
    if (!model) {
        reject(*exchange,
            protocol_error { protocol_errc::NotFound, "model", "\"" + chat.value().model + "\" is not configured" });
        return;
    }
    caller_request request = requestFor(*exchange, team);
    request.model = *model;
    request.pool = m_directory->config.models.at(*model).pool;
    request.kind = pool_kind::Model;
    request.idempotent = true;
    request.maxTokens = chat.value().maxTokens;
    request.prefixDigest = chat.value().prompt.size() < prefixBytes
        ? 0
        : nameDigest(std::string_view(chat.value().prompt).substr(0, prefixBytes));
    request.body = std::move(chat.value().prompt);
    start(exchange, std::move(request), std::move(chat.value().model), chat.value().stream);
}

void caller_api::handleService(const std::shared_ptr<http_exchange>& exchange, const team_id& team)
{
    const http_request& received = exchange->request();
    const service_route* route = m_directory->names.findRoute(received.method, pathOf(received.target));
    if (!route) {
        reject(*exchange,
            protocol_error { protocol_errc::NotFound, received.method + " " + pathOf(received.target),
                "no service is configured for this method and path" });
        return;
    }
    caller_request request = requestFor(*exchange, team);
    request.pool = route->pool;
    request.kind = pool_kind::Service;
    request.idempotent = route->idempotent;
    request.method = received.method;
    request.target = received.target;
    request.body = received.body;
    start(exchange, std::move(request), {}, false);
}

void caller_api::start(
    const std::shared_ptr<http_exchange>& exchange, caller_request request, std::string modelName, bool stream)
{
    if (request.idempotencyKey.size() > maxIdempotencyKeyBytes) {
        reject(*exchange, protocol_error { protocol_errc::Malformed, "Idempotency-Key", "must be at most 128 bytes" });
        return;
    }
    const request_id id = request.id;
    const auto session = std::make_shared<caller_session>(id, exchange, std::move(modelName), stream);
    if (!m_hooks.onRequest(std::move(request))) {
        reject(*exchange, id,
            { "queue_full", "the entry is overloaded", execution_outcome::NotRun, std::chrono::seconds(1) });
        return;
    }
    m_sessions.emplace(id, session);
    exchange->onClosed = [this, id] {
        takeSession(id);
        m_hooks.onCallerDisconnected(id);
    };
    exchange->onWritten = [this, id, weak = std::weak_ptr<caller_session>(session)](std::size_t bytes) {
        const auto written = weak.lock();
        const std::int64_t text = written ? written->onBodyWritten(bytes) : 0;
        if (text > 0)
            m_hooks.onCallerRead(id, byte_count(text));
    };
}

void caller_api::sendPart(const answer_part_action& action)
{
    const auto found = m_sessions.find(action.request);
    if (found == m_sessions.end())
        return;
    caller_session& session = *found->second;
    if (!session.hasStarted() && action.firstToken == 0) {
        const auto elapsed = std::chrono::steady_clock::now() - session.arrivalTime();
        m_metrics.observeFirstPart(std::chrono::duration<double>(elapsed).count());
    }
    session.addText(action.bytes);
    if (!session.isStreaming())
        buffer(action.request, action.bytes.size());
}

void caller_api::buffer(const request_id& id, std::size_t bytes)
{
    m_bufferedBytes += bytes;
    // The number of tokens does not bound the answer, since a runner in trouble may send any text as a token.
    while (m_bufferedBytes > m_maxBufferedBytes)
        endLongestAnswer();
    // Buffered text counts as read at once.
    if (m_sessions.contains(id))
        m_hooks.onCallerRead(id, byte_count(static_cast<std::int64_t>(bytes)));
}

void caller_api::endLongestAnswer()
{
    const auto longest = std::max_element(m_sessions.begin(), m_sessions.end(),
        [](const auto& a, const auto& b) { return a.second->bufferedBytes() < b.second->bufferedBytes(); });
    const request_id id = longest->first;
    sendError(id, { "runner_failed", "the answer is too long to buffer beside those of others", execution_outcome::Unknown, std::nullopt });
    m_hooks.onAnswerTooLong(id);
}

std::shared_ptr<caller_session> caller_api::takeSession(const request_id& id)
{
    const auto found = m_sessions.find(id);
    if (found == m_sessions.end())
        return nullptr;
    std::shared_ptr<caller_session> session = std::move(found->second);
    m_sessions.erase(found);
    m_bufferedBytes -= session->bufferedBytes();
    return session;
}

void caller_api::sendEnd(const answer_end_action& action)
{
    const auto session = takeSession(action.request);
    if (!session)
        return;
    m_metrics.countResponse("ok");
    if (action.httpStatus != 0)
        session->respondFromService(action.httpStatus, action.contentType, action.body);
    else
        session->finishChat(action.usage);
}

void caller_api::sendError(const request_id& id, const caller_error& error)
{
    const auto session = takeSession(id);
    if (!session)
        return;
    m_metrics.countResponse(error.code);
    session->fail(httpStatusFor(error.code), errorBody(error, id), retryAfterText(error.retryAfter));
}

void caller_api::reject(http_exchange& exchange, const protocol_error& error)
{
    reject(exchange, nextId(), toCallerError(error));
}

void caller_api::reject(http_exchange& exchange, const request_id& id, const caller_error& error)
{
    m_metrics.countResponse(error.code);
    http_exchange::headers headers { { "X-Request-Id", id.value() } };
    if (error.retryAfter)
        headers.emplace_back("Retry-After", retryAfterText(error.retryAfter));
    exchange.respond(httpStatusFor(error.code), "application/json", errorBody(error, id), std::move(headers));
}

}
