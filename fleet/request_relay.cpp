#include "fleet/request_relay.h"

#include "fleet/entry_context.h"
#include "fleet/event_log.h"
#include "fleet/process_metrics.h"
#include "fleet/steady_time.h"
#include "platform/request_translation.h"
#include "relay/caller_connection.h"
#include "relay/http_response_head.h"
#include "serving/failover_action.h"
#include "serving/route_index.h"
#include "serving/serving_configuration.h"

#include <algorithm>

namespace sardinelb {

namespace {

// Patience of callers that name none.
constexpr duration defaultPatience = std::chrono::seconds(30);

// A stream that has begun and is silent for this long continues at another runner: callers leave after two seconds.
constexpr duration longestStreamSilence = std::chrono::milliseconds(1100);

// An answer is read no further while the caller has not taken this much of it.
constexpr std::size_t mostBacklog = 262144;
constexpr std::chrono::milliseconds backlogCheck { 20 };

// Part of the usual time to a first answer that is kept free for it when a request waits for a place.
constexpr double firstAnswerMargin = 1.5;

// A caller with less than this part of the longest patience seen on its route has been turned away before.
constexpr double returningPatience = 0.97;

constexpr int firstServerError = 500;

std::int64_t milliseconds(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

const char* nameOf(attempt_failure failure)
{
    switch (failure) {
    case attempt_failure::NotConnected:
        return "not_connected";
    case attempt_failure::Rejected:
        return "rejected";
    case attempt_failure::WrongRunner:
        return "wrong_runner";
    case attempt_failure::OutcomeUnknown:
        return "unknown";
    case attempt_failure::ServerError:
        return "server_error";
    }
    return "unknown";
}

}

request_relay::request_relay(entry_context& context, std::shared_ptr<caller_connection> caller, proxied_request request)
    : m_context(context)
    , m_caller(std::move(caller))
    , m_request(std::move(request))
    , m_deadlineTimer(context.executor())
    , m_silenceTimer(context.executor())
{
    ++m_context.activeRequests;
}

request_relay::~request_relay()
{
    --m_context.activeRequests;
}

void request_relay::start()
{
    m_arrivedAt = steadyNow();
    m_routes = m_context.routes();
    if (!m_routes) {
        refuse("no configuration is known yet");
        return;
    }
    m_route = m_routes->find(m_request.host, m_request.target);
    if (!m_route) {
        fail(404, "refused", "no route");
        return;
    }
    if (!authorize()) {
        fail(401, "refused", "unknown key");
        return;
    }
    if (m_request.attemptId.empty()) {
        fail(400, "refused", "no attempt id");
        return;
    }
    const pool_id* pool = m_context.pickPool(*m_route);
    if (!pool) {
        refuse("the route has no pool");
        return;
    }
    m_pool = *pool;
    m_deadline = m_arrivedAt + m_request.callerTimeout.value_or(defaultPatience);
    if (m_route->timeLimit > duration {})
        m_deadline = std::min(m_deadline, m_arrivedAt + m_route->timeLimit);
    m_context.retriesOf(m_pool).onRequest(m_arrivedAt);
    m_isReturning = m_request.callerTimeout && *m_request.callerTimeout < m_context.longestPatience(m_route->name, *m_request.callerTimeout) * returningPatience;
    m_deadlineTimer.expires_after(m_deadline - m_arrivedAt);
    m_deadlineTimer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        if (!error)
            self->timeIsUp();
    });
    m_caller->setCallerLeft([self = shared_from_this()] { self->callerLeft(); });
    findPlace();
}

bool request_relay::authorize()
{
    const serving_configuration& configuration = m_routes->configuration();
    const auto holder = configuration.keys.find(m_request.apiKey);
    if (holder != configuration.keys.end())
        m_holder = holder->second;
    return m_holder || m_route->isPublic || !configuration.requiresKeys;
}

void request_relay::findPlace()
{
    const time_point now = steadyNow();
    // Those who wait already go first.
    const bool mayGo = m_context.lineOf(m_pool).size() == 0 || !m_tried.empty();
    if (mayGo) {
        if (const auto runner = m_context.runners().choose(m_pool, m_tried, now)) {
            launch(*runner);
            return;
        }
    }
    waitForPlace();
}

void request_relay::waitForPlace()
{
    const time_point now = steadyNow();
    waiting_request waiting;
    waiting.ticket = m_context.nextTicket();
    waiting.priority = m_holder && m_holder->priority ? *m_holder->priority : m_route->priority;
    waiting.arrivedAt = m_arrivedAt;
    waiting.isCallerRetry = m_isReturning;
    const duration firstAnswer = m_context.runners().expectedTimeToFirstByte(m_pool);
    waiting.latestTimelyStart = m_arrivedAt + m_route->objective - firstAnswer;
    const time_point callerLeaves = isStream(m_route->retrySemantics) ? m_arrivedAt + m_route->callerIdleTimeout : m_deadline;
    waiting.latestStart = std::min(callerLeaves, m_deadline) - std::chrono::duration_cast<duration>(firstAnswer * firstAnswerMargin);
    if (!m_context.lineOf(m_pool).canServeInTime(waiting, m_context.freedSlotsPerSecond(m_pool), now)) {
        waitEnded();
        return;
    }
    m_ticket = waiting.ticket;
    m_context.wait(m_pool, waiting, weak_from_this());
}

void request_relay::placeFound()
{
    m_ticket.reset();
    if (m_isFinished)
        return;
    if (const auto runner = m_context.runners().choose(m_pool, m_tried, steadyNow()))
        launch(*runner);
    else
        waitForPlace();
}

void request_relay::waitEnded()
{
    m_ticket.reset();
    if (m_isFinished)
        return;
    if (m_answerStarted) {
        m_caller->breakOff();
        finish("broken_off", 0, "no runner to continue the stream");
    } else if (m_head && m_head->status >= firstServerError && m_head->isSigned) {
        m_caller->answer(m_head->status, m_head->forwardedHeaders, m_body);
        finish("answered", m_head->status, "no other runner has room");
    } else if (m_mayHaveRun) {
        fail(502, "unknown", "no other runner has room");
    } else {
        refuse("no runner has room");
    }
}

duration request_relay::timeLeft(time_point now) const
{
    return std::max(duration {}, m_deadline - now);
}

void request_relay::launch(const runner_id& runner)
{
    const runner_record* record = m_context.runners().find(runner);
    const time_point now = steadyNow();
    if (!m_tried.empty())
        m_context.metrics().count("retry");
    m_runner = runner;
    m_tried.push_back(runner);
    m_sentAt = now;
    m_head.reset();
    m_body.clear();
    m_isRelayingStream = false;
    m_hasEvents = false;
    m_context.runners().onAttemptStarted(runner);
    m_context.lineOf(m_pool).onDispatch(now);
    m_context.log().write("attempt", { { "request", m_request.attemptId }, { "runner", runner.value() }, { "load", static_cast<std::int64_t>(record->estimatedLoad(now)) }, { "own", static_cast<std::int64_t>(record->inFlight) }, { "waited_ms", milliseconds(now - m_arrivedAt) }, { "number", static_cast<std::int64_t>(m_tried.size()) }, { "configuration", static_cast<std::int64_t>(m_routes->configuration().version.value()) } });
    platform::attempt_headers fields { runner, m_holder ? m_holder->team : team_id {}, timeLeft(now), m_events.lastEventId() };
    if (fields.resumeAfterEvent.empty())
        fields.resumeAfterEvent = m_request.resumeAfterEvent;
    m_exchange = std::make_shared<runner_exchange>(m_context.executor(), exchangeHooks());
    m_exchange->start(record->listing.address, platform::encodeRunnerRequest(m_request, fields));
    ++m_attemptsSent;
}

runner_exchange::hooks request_relay::exchangeHooks()
{
    const auto self = shared_from_this();
    return {
        [self](const http_response_head& head) { self->headArrived(head); },
        [self](std::string_view part) { self->bodyArrived(part); },
        [self](runner_exchange::ending how) { self->exchangeEnded(how); },
    };
}

void request_relay::headArrived(const http_response_head& response)
{
    m_head = platform::readResponseHead(response);
    if (m_head->isFromWrongRunner) {
        attemptFailed(attempt_failure::WrongRunner, "another runner answered");
        return;
    }
    if (m_head->isNotExecuted) {
        attemptFailed(attempt_failure::Rejected, "the runner did not run it");
        return;
    }
    if (m_head->attemptId != m_request.attemptId || !m_head->isSigned || m_head->isEncoded) {
        attemptFailed(attempt_failure::OutcomeUnknown, "the answer is not the runner's own");
        return;
    }
    m_context.metrics().answerBegan(steadyNow() - m_arrivedAt);
    if (isStream(m_route->retrySemantics) && m_head->status == 200)
        streamBegan();
}

void request_relay::streamBegan()
{
    m_isRelayingStream = true;
    m_lastEventAt = steadyNow();
    m_events.dropPartialEvent();
    if (!m_answerStarted) {
        m_answerStarted = true;
        m_caller->beginStream(m_head->status, m_head->forwardedHeaders);
    }
    watchStream();
}

void request_relay::bodyArrived(std::string_view part)
{
    if (!m_exchange)
        return;
    if (m_isRelayingStream)
        eventsArrived(part);
    else
        m_body += part;
}

void request_relay::eventsArrived(std::string_view part)
{
    m_events.add(part);
    const std::string events = m_events.takeEvents();
    if (events.empty())
        return;
    const time_point now = steadyNow();
    if (m_firstEventAfter == duration {})
        m_firstEventAfter = now - m_arrivedAt;
    else
        m_longestGap = std::max(m_longestGap, now - m_lastEventAt);
    if (!m_hasEvents)
        m_context.runners().onFirstEvent(m_runner, now - m_sentAt);
    else
        m_context.runners().onEventGap(m_runner, now - m_lastEventAt, m_route->eventGapObjective, now);
    m_hasEvents = true;
    m_lastEventAt = now;
    m_caller->sendPart(events);
    if (m_caller->unsentBytes() > mostBacklog) {
        m_exchange->pause();
        watchBacklog();
    }
}

void request_relay::watchBacklog()
{
    m_silenceTimer.expires_after(backlogCheck);
    m_silenceTimer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        if (error || !self->m_exchange)
            return;
        if (self->m_caller->unsentBytes() > mostBacklog / 2) {
            self->watchBacklog();
            return;
        }
        self->m_exchange->resume();
        self->m_lastEventAt = steadyNow();
        self->watchStream();
    });
}

void request_relay::watchStream()
{
    if (m_route->retrySemantics != retry_semantics::ResumableStream)
        return;
    const time_point now = steadyNow();
    m_silenceTimer.expires_after(m_lastEventAt + longestStreamSilence - now);
    m_silenceTimer.async_wait([self = shared_from_this(), exchange = m_exchange.get()](const boost::system::error_code& error) {
        if (error || self->m_exchange.get() != exchange || !self->m_isRelayingStream)
            return;
        if (steadyNow() - self->m_lastEventAt >= longestStreamSilence)
            self->attemptFailed(attempt_failure::OutcomeUnknown, "the stream fell silent");
        else
            self->watchStream();
    });
}

void request_relay::exchangeEnded(runner_exchange::ending how)
{
    if (how == runner_exchange::ending::NotConnected)
        attemptFailed(attempt_failure::NotConnected, "no connection");
    else if (how == runner_exchange::ending::Broken || (m_isRelayingStream && m_events.hasPartialEvent()))
        attemptFailed(attempt_failure::OutcomeUnknown, "the answer broke off");
    else
        answerComplete();
}

void request_relay::answerComplete()
{
    const bool mayDoBetter = m_route->retrySemantics == retry_semantics::Idempotent && m_head->status >= firstServerError;
    if (mayDoBetter) {
        attemptFailed(attempt_failure::ServerError, "the runner failed");
        return;
    }
    m_exchange.reset();
    const time_point now = steadyNow();
    m_context.runners().onAttemptSucceeded(m_runner, now - m_sentAt);
    if (m_isRelayingStream)
        m_caller->endStream();
    else
        m_caller->answer(m_head->status, m_head->forwardedHeaders, m_body);
    finish("answered", m_head->status, "");
}

void request_relay::dropExchange()
{
    if (m_exchange)
        m_exchange->cancel();
    m_exchange.reset();
    m_silenceTimer.cancel();
    m_isRelayingStream = false;
}

void request_relay::attemptFailed(attempt_failure failure, const char* why)
{
    dropExchange();
    m_context.runners().onAttemptFailed(m_runner, failure, steadyNow());
    continueAfter(failure, why);
}

void request_relay::continueAfter(attempt_failure failure, const char* why)
{
    const time_point now = steadyNow();
    // Only runs count as attempts: what a runner did not run may go to the next one.
    if (wasNotRun(failure)) {
        ++m_attemptsNotRun;
        --m_attemptsSent;
    }
    m_mayHaveRun = m_mayHaveRun || !wasNotRun(failure);
    retry_budget_share& retries = m_context.retriesOf(m_pool);
    failover_context facts;
    facts.retrySemantics = m_route->retrySemantics;
    facts.failure = failure;
    facts.mayHaveRun = m_mayHaveRun;
    facts.answerStarted = m_answerStarted;
    facts.attemptsSent = m_attemptsSent;
    facts.maxAttempts = m_route->maxAttempts;
    facts.attemptsNotRun = m_attemptsNotRun;
    facts.retryAllowed = retries.canRetry(m_context.entriesAlive(), now);
    facts.timeLeft = timeLeft(now);
    const failover_action next = chooseFailoverAction(facts);
    m_context.log().write("attempt_failed", { { "request", m_request.attemptId }, { "runner", m_runner.value() }, { "failure", nameOf(failure) }, { "why", why }, { "after_ms", milliseconds(now - m_sentAt) }, { "sent", static_cast<std::int64_t>(m_attemptsSent) }, { "retry_allowed", facts.retryAllowed }, { "again", next == failover_action::TryAnother } });
    switch (next) {
    case failover_action::TryAnother:
        if (failure != attempt_failure::NotConnected)
            retries.recordRetry(now);
        findPlace();
        return;
    case failover_action::RefuseNotRun:
        refuse(why);
        return;
    case failover_action::ForwardError:
        m_caller->answer(m_head->status, m_head->forwardedHeaders, m_body);
        finish("answered", m_head->status, why);
        return;
    case failover_action::FailUnknown:
        fail(502, "unknown", why);
        return;
    case failover_action::AbortStream:
        m_caller->breakOff();
        finish("broken_off", 0, why);
        return;
    }
}

void request_relay::timeIsUp()
{
    if (m_isFinished)
        return;
    const bool wasSent = m_exchange != nullptr;
    if (wasSent) {
        dropExchange();
        m_context.runners().onAttemptAbandoned(m_runner);
    }
    if (m_answerStarted) {
        m_caller->breakOff();
        finish("broken_off", 0, "the time limit is over");
    } else if (wasSent || m_mayHaveRun) {
        fail(504, "unknown", "the time limit is over");
    } else {
        refuse("the time limit is over");
    }
}

void request_relay::callerLeft()
{
    if (m_isFinished)
        return;
    if (m_exchange) {
        dropExchange();
        m_context.runners().onAttemptAbandoned(m_runner);
    }
    finish("caller_left", 0, "");
}

void request_relay::refuse(const char* why)
{
    const duration wait = m_pool.value().empty() ? m_context.retryDelayWithoutConfiguration() : m_context.lineOf(m_pool).expectedWait(m_context.freedSlotsPerSecond(m_pool), steadyNow());
    m_caller->answer(503, platform::localResponseHeaders(m_request.attemptId, wait), "");
    finish("not_run", 503, why);
}

void request_relay::fail(int status, const char* outcome, const char* why)
{
    m_caller->answer(status, platform::localResponseHeaders(m_request.attemptId, std::nullopt), "");
    finish(outcome, status, why);
}

void request_relay::finish(const char* outcome, int status, const char* why)
{
    m_isFinished = true;
    const duration total = steadyNow() - m_arrivedAt;
    m_context.log().write("request", { { "request", m_request.attemptId }, { "outcome", outcome }, { "status", static_cast<std::int64_t>(status) }, { "why", why }, { "route", m_route ? std::string_view(m_route->name) : std::string_view() }, { "runner", m_runner.value() }, { "total_ms", milliseconds(total) }, { "first_ms", milliseconds(m_firstEventAfter) }, { "longest_gap_ms", milliseconds(m_longestGap) }, { "events", static_cast<std::int64_t>(m_events.eventCount()) }, { "waiting", static_cast<std::int64_t>(m_pool.value().empty() ? 0 : m_context.lineOf(m_pool).size()) } });
    m_context.metrics().requestEnded(outcome, total);
    m_deadlineTimer.cancel();
    m_silenceTimer.cancel();
    m_caller->setCallerLeft(nullptr);
    if (m_ticket)
        m_context.stopWaiting(m_pool, *m_ticket);
    m_ticket.reset();
    m_context.fillRoom(m_pool);
}

}
