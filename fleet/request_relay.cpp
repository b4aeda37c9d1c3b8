#include "fleet/request_relay.h"

#include "fleet/entry_context.h"
#include "fleet/event_log.h"
#include "fleet/process_metrics.h"
#include "fleet/request_totals.h"
#include "fleet/steady_time.h"
#include "platform/request_translation.h"
#include "relay/http_server_connection.h"
#include "serving/prompt_parts.h"
#include "serving/response_head_check.h"
#include "serving/route_index.h"
#include "serving/serving_configuration.h"

#include <algorithm>

namespace sardinelb {

namespace {

// For callers that send no timeout.
constexpr duration defaultCallerTimeout = std::chrono::seconds(30);

// The latest start of a queued request reserves this multiple of the usual time to the first part of a response.
constexpr double timeToFirstByteMarginFactor = 1.5;

// A caller whose timeout is below this part of the longest timeout seen on its route is taken to have been rejected before.
constexpr double callerRetryTimeoutRatio = 0.97;

constexpr const char* quarantinedReason = "a part of the prompt has crashed runners";

}

request_relay::request_relay(entry_context& context, std::shared_ptr<http_server_connection> caller, proxied_request request)
    : m_context(context)
    , m_totals(context.totals())
    , m_caller(std::move(caller))
    , m_request(std::move(request))
    , m_deadlineTimer(context.executor())
    , m_silenceTimer(context.executor())
{
    ++m_totals->activeRequests;
}

request_relay::~request_relay()
{
    m_totals->bufferedResponseBytes -= m_bufferedBytes;
    --m_totals->activeRequests;
}

void request_relay::start()
{
    m_arrivedAt = steadyNow();
    m_routes = m_context.routes();
    if (!m_routes) {
        reject("no configuration received yet");
        return;
    }
    m_route = m_routes->find(m_request.host, m_request.target);
    if (!m_route) {
        fail(404, "refused", "no matching route");
        return;
    }
    if (!authorize()) {
        fail(401, "refused", "unknown or missing API key");
        return;
    }
    if (m_request.attemptId.empty()) {
        fail(400, "refused", "missing attempt id");
        return;
    }
    const pool_id* pool = m_context.pickPool(*m_route);
    if (!pool) {
        reject("the route has no pool");
        return;
    }
    m_pool = *pool;
    m_deadline = m_arrivedAt + m_request.callerTimeout.value_or(defaultCallerTimeout);
    if (m_route->timeLimit > duration {})
        m_deadline = std::min(m_deadline, m_arrivedAt + m_route->timeLimit);
    m_context.retryBudgetOf(m_pool).onRequest(m_arrivedAt);
    if (m_context.isTooLateFor(m_deadline, m_arrivedAt)) {
        reject("entry is stopping", duration {});
        return;
    }
    if (const auto left = quarantineLeft()) {
        reject(quarantinedReason, *left);
        return;
    }
    if (isStream(m_route->retrySemantics))
        m_context.demand().onArrival();
    m_isCallerRetry = m_request.callerTimeout && *m_request.callerTimeout < m_context.updateMaxCallerTimeout(m_route->name, *m_request.callerTimeout) * callerRetryTimeoutRatio;
    if (!m_isCallerRetry)
        m_context.queueOf(m_pool).onArrival(m_arrivedAt);
    m_deadlineTimer.expires_after(m_deadline - m_arrivedAt);
    m_deadlineTimer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        if (!error)
            self->endAtTimeLimit("request deadline exceeded");
    });
    if (m_route->retrySemantics == retry_semantics::ResumableStream)
        m_attempt.events.resumeAfter(m_request.resumeAfterEvent);
    m_caller->setDisconnectHandler([self = shared_from_this()] { self->onCallerDisconnect(); });
    m_context.addRequest(this, weak_from_this());
    dispatchOrEnqueue();
}

bool request_relay::authorize()
{
    const serving_configuration& configuration = m_routes->configuration();
    const auto holder = configuration.keys.find(m_request.apiKey);
    if (holder != configuration.keys.end())
        m_holder = holder->second;
    return m_holder || m_route->isPublic || !configuration.requiresKeys;
}

void request_relay::dispatchOrEnqueue()
{
    const time_point now = steadyNow();
    // Requests that are already queued go first.
    const bool canDispatch = m_context.queueOf(m_pool).size() == 0 || !m_triedRunners.empty();
    if (canDispatch) {
        if (const auto runner = m_context.runners().choose(m_pool, m_triedRunners, now)) {
            startAttempt(*runner);
            return;
        }
    }
    enqueue();
}

std::int32_t request_relay::priority() const
{
    return m_holder && m_holder->priority ? *m_holder->priority : m_route->priority;
}

void request_relay::enqueue()
{
    const time_point now = steadyNow();
    waiting_request waiting;
    waiting.ticket = m_context.nextTicket();
    waiting.priority = priority();
    waiting.routePriority = m_route->priority;
    waiting.arrivedAt = m_arrivedAt;
    waiting.isCallerRetry = m_isCallerRetry;
    const duration timeToFirstByte = m_context.runners().expectedTimeToFirstByte(m_pool);
    waiting.latestTimelyStart = m_arrivedAt + m_route->objective - timeToFirstByte;
    const time_point callerDisconnectsAt = isStream(m_route->retrySemantics) ? m_arrivedAt + m_route->callerIdleTimeout : m_deadline;
    waiting.latestStart = std::min(callerDisconnectsAt, m_deadline) - std::chrono::duration_cast<duration>(timeToFirstByte * timeToFirstByteMarginFactor);
    const time_point pausedUntil = m_context.runners().pausedUntil(m_pool, now);
    if (pausedUntil > waiting.latestStart) {
        endUnserved("all runners have asked for a pause", pausedUntil - now);
        return;
    }
    if (m_context.runners().isPoolEvacuated(m_pool)) {
        endUnserved("all zones of the pool are evacuated", std::nullopt);
        return;
    }
    if (!m_context.queueOf(m_pool).canServeInTime(waiting, m_context.freedSlotsPerSecond(m_pool), now)) {
        onNoFreeSlot();
        return;
    }
    m_ticket = waiting.ticket;
    m_context.enqueue(m_pool, waiting, weak_from_this());
}

void request_relay::onSlotAvailable()
{
    m_ticket.reset();
    if (m_isFinished)
        return;
    if (const auto runner = m_context.runners().choose(m_pool, m_triedRunners, steadyNow()))
        startAttempt(*runner);
    else
        enqueue();
}

void request_relay::onNoFreeSlot()
{
    m_ticket.reset();
    if (m_isFinished)
        return;
    endUnserved("no runner has a free slot", std::nullopt);
}

void request_relay::endUnserved(const char* why, std::optional<duration> retryAfter)
{
    if (waitForSilentAttempt())
        return;
    if (m_isResponseStarted) {
        m_caller->abort();
        finish("broken_off", 0, why);
    } else if (m_attempt.head) {
        m_caller->respond(m_attempt.head->status, m_attempt.head->forwardedHeaders, m_attempt.body);
        finish("answered", m_attempt.head->status, why);
    } else if (m_mayHaveRun) {
        fail(502, "unknown", why);
    } else if (retryAfter) {
        reject(why, *retryAfter);
    } else {
        reject(why);
    }
}

std::optional<duration> request_relay::quarantineLeft() const
{
    return m_context.promptGuard().quarantineLeft(m_pool, m_request.promptParts);
}

void request_relay::onQuarantine()
{
    if (m_isFinished || m_attempt.hasAnswered)
        return;
    const auto left = quarantineLeft();
    if (!left)
        return;
    if (abandonAttempt()) {
        dropResponse();
        m_mayHaveRun = true;
    }
    endUnserved(quarantinedReason, left);
}

duration request_relay::timeLeft(time_point now) const
{
    return std::max(duration {}, m_deadline - now);
}

void request_relay::startAttempt(const runner_id& runner)
{
    const auto left = quarantineLeft();
    if (left) {
        endUnserved(quarantinedReason, left);
        return;
    }
    m_context.promptGuard().onSent(m_pool, m_request.promptParts);
    const runner_record* record = m_context.runners().find(runner);
    const time_point now = steadyNow();
    if (!m_triedRunners.empty())
        m_context.metrics().count("retry");
    if (m_context.runners().isCold(*record, now))
        m_context.metrics().count("cold_runner_request");
    if (record->load)
        m_context.metrics().recordChoice(now - record->load->at, record->load->sentSince);
    m_triedRunners.push_back(runner);
    runner_attempt attempt;
    attempt.number = static_cast<std::uint32_t>(m_triedRunners.size());
    attempt.runner = runner;
    attempt.process = processOf(record->listing);
    attempt.sentAt = now;
    attempt.events = std::move(m_attempt.events);
    m_attempt = std::move(attempt);
    onRetrySent();
    m_context.runners().onAttemptStarted(runner, now);
    m_context.queueOf(m_pool).onDispatch(now);
    m_context.log().write("attempt", { { "request", m_request.attemptId }, { "runner", runner.value() }, { "load", static_cast<std::int64_t>(record->estimatedLoad(now)) }, { "own", static_cast<std::int64_t>(record->inFlight) }, { "waited_ms", wholeMilliseconds(now - m_arrivedAt) }, { "number", static_cast<std::int64_t>(m_triedRunners.size()) }, { "prompt_parts", describe(m_request.promptParts) }, { "configuration", static_cast<std::int64_t>(m_routes->configuration().version.value()) } });
    platform::attempt_headers fields { runner, m_holder ? m_holder->team : team_id {}, timeLeft(now), m_attempt.events.lastEventId() };
    if (fields.resumeAfterEvent.empty())
        fields.resumeAfterEvent = m_request.resumeAfterEvent;
    m_attempt.exchange = std::make_shared<runner_exchange>(m_context.executor(), exchangeHooks());
    m_attempt.exchange->start(record->listing.address, platform::encodeRunnerRequest(m_request, fields));
    ++m_attemptsSent;
}

runner_exchange::hooks request_relay::exchangeHooks()
{
    const auto self = shared_from_this();
    const std::uint32_t number = m_attempt.number;
    return {
        [self](const http_response_head& head) { self->onHead(head); },
        [self, number](std::string_view part) { self->isCurrent(number) ? self->onBody(part) : self->onSilentBody(number, part); },
        [self, number](runner_exchange::result result) { self->isCurrent(number) ? self->onExchangeEnd(result) : self->onSilentEnd(number, result); },
    };
}

bool request_relay::abandonAttempt()
{
    if (!m_attempt.exchange)
        return false;
    cancelExchange();
    m_context.runners().onAttemptAbandoned(m_attempt.runner);
    return true;
}

void request_relay::leaveQueue()
{
    if (m_ticket)
        m_context.dequeue(m_pool, *m_ticket);
    m_ticket.reset();
    giveUpRetry();
}

void request_relay::cancelExchange()
{
    if (m_attempt.exchange)
        m_attempt.exchange->cancel();
    m_attempt.exchange.reset();
    m_silenceTimer.cancel();
    m_attempt.isRelayingStream = false;
}

void request_relay::onProcessEnd()
{
    endAtTimeLimit("entry ends");
}

void request_relay::endAtTimeLimit(const char* why)
{
    if (m_isFinished)
        return;
    const bool isInFlight = abandonAttempt();
    if (m_isResponseStarted) {
        m_caller->abort();
        finish("broken_off", 0, why);
    } else if (isInFlight || m_mayHaveRun) {
        fail(504, "unknown", why);
    } else {
        reject(why);
    }
}

void request_relay::onCallerDisconnect()
{
    if (m_isFinished)
        return;
    abandonAttempt();
    finish("caller_left", 0, "");
}

void request_relay::reject(const char* why)
{
    reject(why, m_pool.value().empty() ? m_context.retryDelayWithoutConfiguration() : m_context.queueOf(m_pool).expectedWait(m_context.freedSlotsPerSecond(m_pool), steadyNow()));
}

void request_relay::reject(const char* why, duration retryAfter)
{
    m_caller->respond(503, platform::localResponseHeaders(m_request.attemptId, retryAfter), "");
    finish("not_run", 503, why);
}

void request_relay::fail(int status, const char* outcome, const char* why)
{
    m_caller->respond(status, platform::localResponseHeaders(m_request.attemptId, std::nullopt), "");
    finish(outcome, status, why);
}

void request_relay::finish(const char* outcome, int status, const char* why)
{
    m_isFinished = true;
    abandonSilentAttempts();
    m_context.removeRequest(this);
    const duration total = steadyNow() - m_arrivedAt;
    m_context.log().write("request", { { "request", m_request.attemptId }, { "outcome", outcome }, { "status", static_cast<std::int64_t>(status) }, { "why", why }, { "route", m_route ? std::string_view(m_route->name) : std::string_view() }, { "runner", m_attempt.runner.value() }, { "total_ms", wholeMilliseconds(total) }, { "first_ms", wholeMilliseconds(m_timeToFirstEvent) }, { "longest_gap_ms", wholeMilliseconds(m_maxEventGap) }, { "events", static_cast<std::int64_t>(m_attempt.events.eventCount()) }, { "waiting", static_cast<std::int64_t>(m_pool.value().empty() ? 0 : m_context.queueOf(m_pool).size()) } });
    m_context.metrics().recordRequest(outcome, total);
    m_deadlineTimer.cancel();
    m_silenceTimer.cancel();
    m_caller->setDisconnectHandler(nullptr);
    leaveQueue();
    m_context.dispatchWaiting(m_pool);
}

}
