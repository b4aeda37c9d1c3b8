#include "tests/stand_ins/batch_scheduler.h"
#include "tests/stand_ins/cache_event_feed.h"
#include "tests/stand_ins/command_line.h"
#include "tests/stand_ins/event_loop.h"
#include "tests/stand_ins/fault_middleware.h"
#include "tests/stand_ins/guarded_main.h"
#include "tests/stand_ins/http_exchange.h"
#include "tests/stand_ins/json_fields.h"
#include "tests/stand_ins/lagging_value.h"
#include "tests/stand_ins/model_registry.h"
#include "tests/stand_ins/server_options.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <stdexcept>
#include <unordered_map>

namespace sardinelb::stand_ins {

namespace {

struct engine_options {
    server_options server;
    batch_settings batch;
    duration loadLag {};
    duration cacheEventDelay {};
    double cacheEventLoss = 0;
    duration modelLoadTime {};
    bool checksFencing = true;
    // Model that is loaded at startup; empty for none.
    std::string model;
};

generation_request parseGenerationRequest(const nlohmann::json& body)
{
    generation_request request;
    request.id = stringField(body, "id");
    request.prompt = stringField(body, "prompt");
    request.maxTokens = numberField(body, "max_tokens");
    request.priority = integerFieldOr(body, "priority", 0);
    request.resumeFrom = numberFieldOr(body, "resume_from", 0);
    request.seed = numberFieldOr(body, "seed", 0);
    if (request.maxTokens == 0 || request.resumeFrom > request.maxTokens)
        throw std::invalid_argument("'max_tokens' must be above 0 and not below 'resume_from'");
    return request;
}

model_order parseOrder(const nlohmann::json& body)
{
    const auto kind = stringField(body, "order");
    const auto number = numberField(body, "fencing_number");
    if (kind == "load")
        return { model_order_kind::Load, stringField(body, "model"), number };
    if (kind == "unload")
        return { model_order_kind::Unload, stringField(body, "model"), number };
    if (kind == "role")
        return { model_order_kind::Role, stringField(body, body.contains("role") ? "role" : "model"), number };
    throw std::invalid_argument("field 'order' must be load, unload or role");
}

nlohmann::json toJson(const model_order& order)
{
    constexpr std::array<const char*, 3> names = { "load", "unload", "role" };
    const bool isRole = order.kind == model_order_kind::Role;
    return {
        { "order", names.at(static_cast<std::size_t>(order.kind)) },
        { isRole ? "role" : "model", order.subject },
        { "fencing_number", order.fencingNumber },
    };
}

nlohmann::json toJson(const cache_event_feed::event& event)
{
    constexpr std::size_t digestBytesWithTerminator = 17;
    std::array<char, digestBytesWithTerminator> digest {};
    std::snprintf(
        digest.data(), digest.size(), "%016llx", static_cast<unsigned long long>(event.change.prefixDigest));
    return {
        { "number", event.number },
        { "type", event.change.stored ? "stored" : "evicted" },
        { "prefix", digest.data() },
        { "bytes", event.change.prefixBytes },
    };
}

nlohmann::json toJson(const engine_load& load)
{
    return {
        { "running", load.running },
        { "waiting", load.waiting },
        { "kv_used", load.kvUsed },
        { "kv_capacity", load.kvCapacity },
    };
}

std::string toLine(const generation_event& event)
{
    if (event.kind == generation_event_kind::Token)
        return toText({ { "index", event.index }, { "token", event.token } }) + "\n";
    const nlohmann::json usage
        = { { "prompt_tokens", event.promptTokens }, { "completion_tokens", event.completionTokens } };
    return toText({ { "done", true }, { "usage", usage } }) + "\n";
}

std::uint64_t parseAfterParameter(const http_request& request)
{
    const auto found = request.query.find("after");
    std::uint64_t number = 0;
    if (found == request.query.end())
        return number;
    const auto& text = found->second;
    if (std::from_chars(text.data(), text.data() + text.size(), number).ec != std::errc())
        throw std::invalid_argument("parameter 'after' must be a number");
    return number;
}

// Fake model engine, served over HTTP.
class engine_program {
public:
    engine_program(event_loop& loop, const engine_options& options)
        : m_loop(loop)
        , m_faults(loop, options.server.seed, { "stalled", "slowdown" })
        , m_scheduler(options.batch)
        , m_cacheEvents(options.cacheEventDelay, options.cacheEventLoss, options.server.seed)
        , m_load(options.loadLag, m_scheduler.load())
        , m_models(options.checksFencing, options.modelLoadTime)
    {
        if (!options.model.empty())
            m_models.apply({ model_order_kind::Load, options.model, 0 }, loop.now() - options.modelLoadTime);
        m_faults.setChangeCallback([this] {
            m_scheduler.setSlowdown(m_faults.settings().slowdown);
            advance();
        });
    }

    http_handler handler()
    {
        return m_faults.wrap([this](const std::shared_ptr<http_exchange>& exchange) { serve(exchange); });
    }

private:
    void serve(const std::shared_ptr<http_exchange>& exchange)
    {
        const auto target = exchange->request().method + " " + exchange->request().path;
        if (target == "POST /v1/generate")
            generate(exchange);
        else if (target == "POST /v1/cancel")
            cancel(*exchange);
        else if (target == "GET /v1/load")
            exchange->respond(200, toText(toJson(m_load.get(m_loop.now()))));
        else if (target == "GET /v1/cache_events")
            serveCacheEvents(*exchange);
        else if (target == "POST /v1/orders")
            applyOrder(*exchange);
        else if (target == "GET /v1/state")
            serveState(*exchange);
        else if (target == "GET /admin/counts")
            exchange->respond(200, toText(m_scheduler.startCounts()));
        else if (target == "GET /admin/orders")
            serveOrders(*exchange);
        else
            exchange->respond(404, errorBody("unknown path or method"));
    }

    void generate(const std::shared_ptr<http_exchange>& exchange)
    {
        const auto request = parseGenerationRequest(parseObject(exchange->request().body));
        switch (m_scheduler.submit(request)) {
        case batch_scheduler::submit_result::DuplicateId:
            exchange->respond(409, errorBody("id '" + request.id + "' is in use"));
            return;
        case batch_scheduler::submit_result::TooLarge:
            exchange->respond(400, errorBody("the prompt and 'max_tokens' exceed the KV cache"));
            return;
        case batch_scheduler::submit_result::Accepted:
            break;
        }
        m_streams[request.id] = exchange;
        exchange->startStream("application/jsonl");
        exchange->setDisconnectCallback([this, id = request.id] { cancelStream(id); });
        advance();
    }

    void cancel(http_exchange& exchange)
    {
        const auto id = stringField(parseObject(exchange.request().body), "id");
        exchange.respond(200, toText({ { "cancelled", cancelStream(id) } }));
    }

    // Returns false if no stream has this id.
    bool cancelStream(const std::string& id)
    {
        if (!m_scheduler.cancel(id))
            return false;
        auto stream = m_streams.extract(id).mapped();
        stream->write(toText({ { "cancelled", true } }) + "\n");
        stream->endStream();
        advance();
        return true;
    }

    void serveCacheEvents(http_exchange& exchange)
    {
        auto events = nlohmann::json::array();
        for (const auto& event : m_cacheEvents.eventsAfter(parseAfterParameter(exchange.request()), m_loop.now()))
            events.push_back(toJson(event));
        exchange.respond(200, toText({ { "events", events } }));
    }

    void applyOrder(http_exchange& exchange)
    {
        const bool applied = m_models.apply(parseOrder(parseObject(exchange.request().body)), m_loop.now());
        const nlohmann::json highest = { { "highest_fencing_number", m_models.highestFencingNumber() } };
        nlohmann::json body = highest;
        if (!applied)
            body["error"] = "the fencing number is stale";
        exchange.respond(applied ? 200 : 409, toText(body));
    }

    void serveState(http_exchange& exchange)
    {
        const auto now = m_loop.now();
        exchange.respond(200,
            toText({
                { "models", m_models.loaded(now) },
                { "loading", m_models.loading(now) },
                { "role", m_models.role() },
                { "highest_fencing_number", m_models.highestFencingNumber() },
            }));
    }

    void serveOrders(http_exchange& exchange)
    {
        auto orders = nlohmann::json::array();
        for (const auto& order : m_models.appliedOrders())
            orders.push_back(toJson(order));
        exchange.respond(200, toText({ { "orders", orders } }));
    }

    // Sends the events that are due and schedules the next call.
    void advance()
    {
        if (m_faults.settings().stalled)
            return;
        const auto now = m_loop.now();
        for (const auto& event : m_scheduler.poll(now))
            sendEvent(event);
        for (const auto& change : m_scheduler.takeCacheChanges())
            m_cacheEvents.add(change, now);
        m_load.set(m_scheduler.load(), now);
        scheduleAdvance();
    }

    void sendEvent(const generation_event& event)
    {
        const auto stream = m_streams.find(event.id);
        stream->second->write(toLine(event));
        if (event.kind != generation_event_kind::Done)
            return;
        stream->second->endStream();
        m_streams.erase(stream);
    }

    void scheduleAdvance()
    {
        const auto deadline = m_scheduler.nextDeadline();
        // A pending timer already fires at or before the deadline.
        if (!deadline || (m_wakeAt && *m_wakeAt <= *deadline))
            return;
        m_wakeAt = deadline;
        m_loop.callAt(*deadline, [this, wakeAt = *deadline] {
            if (m_wakeAt == wakeAt)
                m_wakeAt.reset();
            advance();
        });
    }

    event_loop& m_loop;
    fault_middleware m_faults;
    batch_scheduler m_scheduler;
    cache_event_feed m_cacheEvents;
    lagging_value<engine_load> m_load;
    model_registry m_models;
    std::unordered_map<std::string, std::shared_ptr<http_exchange>> m_streams;
    // Time of the earliest pending timer.
    std::optional<time_point> m_wakeAt;
};

duration fromMilliseconds(double milliseconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

engine_options optionsFrom(int argc, char** argv)
{
    engine_options options;
    double tokenIntervalMs = 20;
    double loadLagMs = 0;
    double eventDelayMs = 0;
    double modelLoadMs = 0;
    command_line line("stand_in_engine");
    addServerOptions(line, options.server);
    line.add("slots", "maximum number of streams that generate at the same time", options.batch.slots);
    line.add("token-interval-ms", "time between two tokens of one stream", tokenIntervalMs);
    line.add("prompt-tokens-per-ms", "prefill speed in tokens per millisecond", options.batch.promptTokensPerMillisecond);
    line.add("kv-capacity", "KV cache in tokens", options.batch.kvCapacity);
    line.add("load-lag-ms", "delay until a load report becomes visible", loadLagMs);
    line.add("cache-event-delay-ms", "time until a cache event becomes visible", eventDelayMs);
    line.add("cache-event-loss", "probability that a cache event is lost", options.cacheEventLoss);
    line.add("checks-fencing", "on: reject orders with a stale fencing number", options.checksFencing);
    line.add("model", "model that is loaded at startup; empty for none", options.model);
    line.add("model-load-ms", "time that loading a model takes", modelLoadMs);
    line.parse(argc, argv);
    options.batch.tokenInterval = fromMilliseconds(tokenIntervalMs);
    options.loadLag = fromMilliseconds(loadLagMs);
    options.cacheEventDelay = fromMilliseconds(eventDelayMs);
    options.modelLoadTime = fromMilliseconds(modelLoadMs);
    return options;
}

void runEngine(int argc, char** argv)
{
    const auto options = optionsFrom(argc, argv);
    event_loop loop;
    engine_program program(loop, options);
    serveHttp(loop, static_cast<std::uint16_t>(options.server.port), program.handler());
    loop.run();
}

}

}

int main(int argc, char** argv)
{
    return sardinelb::stand_ins::guardedMain([&] { sardinelb::stand_ins::runEngine(argc, argv); });
}
