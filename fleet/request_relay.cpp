#include "fleet/request_relay.h"

#include "fleet/entry_context.h"
#include "fleet/event_log.h"
#include "fleet/process_metrics.h"
#include "fleet/request_totals.h"
#include "fleet/steady_time.h"
#include "platform/request_translation.h"
#include "relay/http_response_head.h"
#include "relay/http_server_connection.h"
#include "serving/failover_action.h"
#include "serving/prompt_parts.h"
#include "serving/response_head_check.h"
#include "serving/route_index.h"
#include "serving/serving_configuration.h"

#include <algorithm>
#include <utility>

namespace sardinelb {

namespace {

// For callers that send no timeout.
constexpr duration defaultCallerTimeout = std::chrono::seconds(30);

// A started stream that is silent for this long is continued by another runner, since callers disconnect after two seconds.
constexpr duration streamSilenceTimeout = std::chrono::milliseconds(1100);

// Reading the response of a runner pauses while more than this has not been sent to the caller.
constexpr std::size_t maxBacklogBytes = 262144;
constexpr std::chrono::milliseconds backlogCheckInterval { 20 };

// Most that is buffered of a response: of one that is no stream, of one event of a stream, and of all responses together. A runner in
// trouble may send bytes without end.
constexpr std::size_t maxBodyBytes = 8388608;
constexpr std::size_t maxEventBytes = 1048576;
constexpr std::size_t maxBufferedResponseBytes = 33554432;

// The latest start of a queued request reserves this multiple of the usual time to the first part of a response.
constexpr double timeToFirstByteMarginFactor = 1.5;

// A caller whose timeout is below this part of the longest timeout seen on its route is taken to have been rejected before.
constexpr double callerRetryTimeoutRatio = 0.97;

constexpr int firstServerErrorStatus = 500;

constexpr const char* quarantinedReason = "a part of the prompt has crashed runners";

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

void request_relay::recordAnswer()
{
    if (m_attempt.hasAnswered)
        return;
    m_attempt.hasAnswered = true;
    if (!m_request.promptParts.empty())
        m_context.promptGuard().onAnswer(m_pool, m_request.promptParts);
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
    m_triedRunners.push_back(runner);
    runner_attempt attempt;
    attempt.number = static_cast<std::uint32_t>(m_triedRunners.size());
    attempt.runner = runner;
    attempt.sentAt = now;
    attempt.events = std::move(m_attempt.events);
    m_attempt = std::move(attempt);
    onRetrySent();
    m_context.runners().onAttemptStarted(runner, now);
    m_context.queueOf(m_pool).onDispatch(now);
    m_context.log().write("attempt", { { "request", m_request.attemptId }, { "runner", runner.value() }, { "load", static_cast<std::int64_t>(record->estimatedLoad(now)) }, { "own", static_cast<std::int64_t>(record->inFlight) }, { "waited_ms", milliseconds(now - m_arrivedAt) }, { "number", static_cast<std::int64_t>(m_triedRunners.size()) }, { "prompt_parts", describe(m_request.promptParts) }, { "configuration", static_cast<std::int64_t>(m_routes->configuration().version.value()) } });
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

expected_response request_relay::expectedResponse() const
{
    const bool hasBody = m_request.method != "HEAD";
    return { m_request.attemptId, hasBody && isStream(m_route->retrySemantics), m_isResponseStarted };
}

void request_relay::onHead(const http_response_head& response)
{
    m_attempt.head = platform::readResponseHead(response);
    const expected_response expected = expectedResponse();
    const auto rejection = checkResponseHead(*m_attempt.head, expected);
    if (rejection || m_attempt.head->status >= firstServerErrorStatus)
        logUnexpectedHead();
    if (isFromAddressedRunner(*m_attempt.head, expected))
        m_context.onNamedLimit(m_attempt.runner, m_attempt.head->requestsPerSecond);
    if (rejection) {
        onAttemptFailed(rejection->failure, rejection->reason);
        return;
    }
    m_context.metrics().recordTimeToFirstByte(steadyNow() - m_arrivedAt);
    if (isEventStream(*m_attempt.head, expected))
        startStream();
}

void request_relay::logUnexpectedHead() const
{
    m_context.log().write("response_unexpected", { { "request", m_request.attemptId }, { "runner", m_attempt.runner.value() }, { "status", static_cast<std::int64_t>(m_attempt.head->status) }, { "for_attempt", m_attempt.head->attemptId }, { "signed", m_attempt.head->isSigned }, { "not_executed", m_attempt.head->isNotExecuted }, { "stream_begun", m_isResponseStarted } });
}

void request_relay::startStream()
{
    m_attempt.isRelayingStream = true;
    m_attempt.lastEventAt = steadyNow();
    m_attempt.events.dropPartialEvent();
    if (!m_isResponseStarted) {
        m_isResponseStarted = true;
        m_caller->beginStream(m_attempt.head->status, m_attempt.head->forwardedHeaders);
    }
    startSilenceTimer(m_attempt.lastEventAt);
}

void request_relay::onBody(std::string_view part)
{
    if (!m_attempt.exchange)
        return;
    if (m_attempt.isRelayingStream)
        onEvents(part);
    else
        m_attempt.body += part;
    if (m_attempt.exchange && !updateBufferedBytes())
        onAttemptFailed(attempt_failure::OutcomeUnknown, "response is too long to buffer");
}

bool request_relay::updateBufferedBytes()
{
    const std::size_t bytes = m_attempt.body.size() + m_attempt.events.pendingBytes();
    std::size_t allBytes = bytes;
    for (const runner_attempt& silent : m_silentAttempts)
        allBytes += silent.events.pendingBytes();
    std::size_t& total = m_totals->bufferedResponseBytes;
    const bool isGrowing = allBytes > m_bufferedBytes;
    total += allBytes - m_bufferedBytes;
    m_bufferedBytes = allBytes;
    return bytes <= (m_attempt.isRelayingStream ? maxEventBytes : maxBodyBytes) && (!isGrowing || total <= maxBufferedResponseBytes);
}

void request_relay::onEvents(std::string_view part)
{
    m_attempt.events.add(part);
    const std::string events = m_attempt.events.takeEvents();
    if (!events.empty())
        forwardEvents(events);
    if (m_attempt.events.isMalformed())
        onAttemptFailed(attempt_failure::OutcomeUnknown, "stream contains bytes that are no next event");
}

void request_relay::forwardEvents(const std::string& events)
{
    abandonSilentAttempts();
    const time_point now = steadyNow();
    if (m_timeToFirstEvent == duration {})
        m_timeToFirstEvent = now - m_arrivedAt;
    else
        m_maxEventGap = std::max(m_maxEventGap, now - m_attempt.lastEventAt);
    if (!m_attempt.hasReceivedEvent)
        m_context.runners().onFirstEvent(m_attempt.runner, now - m_attempt.sentAt);
    else
        m_context.runners().onEventGap(m_attempt.runner, now - m_attempt.lastEventAt, m_route->eventGapObjective, now);
    // A runner that ends at the beginning of an answer may still have sent its first event.
    if (m_attempt.hasReceivedEvent)
        recordAnswer();
    m_attempt.hasReceivedEvent = true;
    m_attempt.lastEventAt = now;
    m_caller->sendChunk(events);
    if (m_caller->unsentBytes() > maxBacklogBytes) {
        m_attempt.exchange->pause();
        scheduleBacklogCheck();
    }
}

void request_relay::scheduleBacklogCheck()
{
    m_silenceTimer.expires_after(backlogCheckInterval);
    m_silenceTimer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        if (error || !self->m_attempt.exchange)
            return;
        if (self->m_caller->unsentBytes() > maxBacklogBytes / 2) {
            self->scheduleBacklogCheck();
            return;
        }
        self->m_attempt.exchange->resume();
        self->m_attempt.lastEventAt = steadyNow();
        self->startSilenceTimer(self->m_attempt.lastEventAt);
    });
}

void request_relay::startSilenceTimer(time_point since)
{
    if (m_route->retrySemantics != retry_semantics::ResumableStream)
        return;
    m_silenceTimer.expires_after(since + streamSilenceTimeout - steadyNow());
    m_silenceTimer.async_wait([self = shared_from_this(), number = m_attempt.number](const boost::system::error_code& error) {
        if (error || !self->isCurrent(number) || !self->m_attempt.exchange || !self->m_attempt.isRelayingStream)
            return;
        if (self->isSilent())
            self->onSilence();
        else
            self->startSilenceTimer(self->m_attempt.lastEventAt);
    });
}

bool request_relay::isSilent() const
{
    return steadyNow() - m_attempt.lastEventAt >= streamSilenceTimeout;
}

void request_relay::onSilence()
{
    const time_point now = steadyNow();
    startSilenceTimer(now);
    m_context.runners().onSilence(m_attempt.runner, now);
    const runner_record* record = m_context.runners().find(m_attempt.runner);
    if (!record || !mayRunnerHaveCrashed(attempt_failure::OutcomeUnknown)) {
        continueElsewhere();
        return;
    }
    m_context.promptGuard().onAttemptBroken(record->listing, m_request.promptParts, [self = shared_from_this(), number = m_attempt.number](bool hasEnded) {
        if (!self->isCurrent(number) || !self->m_attempt.exchange || !self->isSilent())
            return;
        if (hasEnded)
            self->onSilentRunnerEnded();
        else
            self->continueElsewhere();
    });
}

void request_relay::onSilentRunnerEnded()
{
    cancelExchange();
    dropResponse();
    m_context.runners().onAttemptAbandoned(m_attempt.runner);
    retryOrFail(attempt_failure::OutcomeUnknown, "runner ended without closing the connection", true);
}

void request_relay::continueElsewhere()
{
    const time_point now = steadyNow();
    const bool canContinue = chooseFailoverAction(failoverContext(attempt_failure::OutcomeUnknown, false)) == failover_action::TryAnother;
    m_context.log().write("attempt_silent", { { "request", m_request.attemptId }, { "runner", m_attempt.runner.value() }, { "silent_ms", milliseconds(now - m_attempt.lastEventAt) }, { "again", canContinue } });
    if (!canContinue)
        return;
    m_mayHaveRun = true;
    reserveRetry();
    m_silenceTimer.cancel();
    runner_attempt next;
    next.events = m_attempt.events;
    next.events.dropPartialEvent();
    m_silentAttempts.push_back(std::exchange(m_attempt, std::move(next)));
    dispatchOrEnqueue();
}

std::vector<runner_attempt>::iterator request_relay::findSilentAttempt(std::uint32_t number)
{
    return std::find_if(m_silentAttempts.begin(), m_silentAttempts.end(), [&](const runner_attempt& silent) { return silent.number == number; });
}

void request_relay::onSilentBody(std::uint32_t number, std::string_view part)
{
    const auto silent = findSilentAttempt(number);
    if (silent == m_silentAttempts.end())
        return;
    silent->events.add(part);
    const std::string events = silent->events.takeEvents();
    if (silent->events.isMalformed() || silent->events.pendingBytes() > maxEventBytes || !updateBufferedBytes()) {
        abandonSilentAttempt(silent, "stream contains bytes that are no next event");
        return;
    }
    if (events.empty())
        return;
    resumeSilentAttempt(silent);
    forwardEvents(events);
    startSilenceTimer(m_attempt.lastEventAt);
}

void request_relay::onSilentEnd(std::uint32_t number, runner_exchange::result result)
{
    const auto silent = findSilentAttempt(number);
    if (silent == m_silentAttempts.end())
        return;
    if (result == runner_exchange::result::Broken || hasStreamEndedEarly(*silent, result)) {
        abandonSilentAttempt(silent, "response ended early or is malformed");
        return;
    }
    resumeSilentAttempt(silent);
    onExchangeEnd(result);
}

void request_relay::resumeSilentAttempt(std::vector<runner_attempt>::iterator silent)
{
    m_context.log().write("attempt_resumed", { { "request", m_request.attemptId }, { "runner", silent->runner.value() }, { "silent_ms", milliseconds(steadyNow() - silent->lastEventAt) } });
    leaveQueue();
    abandonAttempt();
    m_attempt = std::move(*silent);
    m_silentAttempts.erase(silent);
    updateBufferedBytes();
}

bool request_relay::waitForSilentAttempt()
{
    if (m_silentAttempts.empty())
        return false;
    leaveQueue();
    m_attempt = std::move(m_silentAttempts.back());
    m_silentAttempts.pop_back();
    startSilenceTimer(steadyNow());
    return true;
}

void request_relay::abandonSilentAttempt(std::vector<runner_attempt>::iterator silent, const char* why)
{
    m_context.log().write("attempt_failed", { { "request", m_request.attemptId }, { "runner", silent->runner.value() }, { "failure", nameOf(attempt_failure::OutcomeUnknown) }, { "why", why } });
    silent->exchange->cancel();
    m_context.runners().onAttemptAbandoned(silent->runner);
    m_silentAttempts.erase(silent);
    updateBufferedBytes();
}

void request_relay::abandonSilentAttempts()
{
    for (const runner_attempt& silent : m_silentAttempts) {
        silent.exchange->cancel();
        m_context.runners().onAttemptAbandoned(silent.runner);
    }
    m_silentAttempts.clear();
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

void request_relay::reserveRetry()
{
    m_hasReservedRetry = true;
    m_context.retryBudgetOf(m_pool).reserveRetry();
}

void request_relay::onRetrySent()
{
    if (std::exchange(m_hasReservedRetry, false))
        m_context.retryBudgetOf(m_pool).onRetrySent(steadyNow());
}

void request_relay::giveUpRetry()
{
    if (std::exchange(m_hasReservedRetry, false))
        m_context.retryBudgetOf(m_pool).onRetryGivenUp();
}

void request_relay::onExchangeEnd(runner_exchange::result result)
{
    if (result == runner_exchange::result::NotConnected)
        onAttemptFailed(attempt_failure::NotConnected, "connection to runner failed");
    else if (result == runner_exchange::result::Broken || hasStreamEndedEarly(m_attempt, result))
        onAttemptFailed(attempt_failure::OutcomeUnknown, "response ended early or is malformed");
    else
        onResponseComplete();
}

bool request_relay::hasStreamEndedEarly(const runner_attempt& attempt, runner_exchange::result result)
{
    if (!attempt.isRelayingStream)
        return false;
    // A response without a length or chunks also ends when its runner does, so events of earlier attempts say nothing.
    const bool hasEvents = result == runner_exchange::result::EndedByClose ? attempt.hasReceivedEvent : attempt.events.eventCount() > 0;
    return attempt.events.hasPartialEvent() || !hasEvents;
}

void request_relay::onResponseComplete()
{
    const bool canRetry = m_route->retrySemantics == retry_semantics::Idempotent && m_attempt.head->status >= firstServerErrorStatus;
    if (canRetry) {
        onAttemptFailed(attempt_failure::ServerError, "runner returned a server error");
        return;
    }
    m_attempt.exchange.reset();
    abandonSilentAttempts();
    const time_point now = steadyNow();
    m_context.runners().onAttemptSucceeded(m_attempt.runner, now - m_attempt.sentAt);
    if (m_attempt.head->status < firstServerErrorStatus)
        recordAnswer();
    if (m_attempt.isRelayingStream)
        m_caller->endStream();
    else
        m_caller->respond(m_attempt.head->status, m_attempt.head->forwardedHeaders, m_attempt.body);
    finish("answered", m_attempt.head->status, "");
}

void request_relay::cancelExchange()
{
    if (m_attempt.exchange)
        m_attempt.exchange->cancel();
    m_attempt.exchange.reset();
    m_silenceTimer.cancel();
    m_attempt.isRelayingStream = false;
}

void request_relay::onAttemptFailed(attempt_failure failure, const char* why)
{
    cancelExchange();
    if (failure != attempt_failure::ServerError)
        dropResponse();
    const runner_record* record = m_context.runners().find(m_attempt.runner);
    const bool isCrashPossible = record && mayRunnerHaveCrashed(failure);
    if (isCrashPossible) {
        m_mayHaveRun = true;
        m_context.promptGuard().onAttemptBroken(record->listing, m_request.promptParts, [self = shared_from_this(), number = m_attempt.number, failure, why](bool hasEnded) {
            if (!self->m_isFinished && self->isCurrent(number))
                self->retryOrFail(failure, why, hasEnded);
        });
    }
    m_context.runners().onAttemptFailed(m_attempt.runner, failure, steadyNow());
    if (!isCrashPossible)
        retryOrFail(failure, why, false);
}

void request_relay::dropResponse()
{
    m_attempt.head.reset();
    m_attempt.body.clear();
    m_attempt.body.shrink_to_fit();
    m_attempt.events.dropPartialEvent();
    updateBufferedBytes();
}

bool request_relay::mayRunnerHaveCrashed(attempt_failure failure) const
{
    return failure == attempt_failure::OutcomeUnknown && !m_attempt.hasAnswered && !m_request.promptParts.empty();
}

failover_context request_relay::failoverContext(attempt_failure failure, bool hasRunnerCrashed)
{
    const time_point now = steadyNow();
    failover_context failover;
    failover.retrySemantics = m_route->retrySemantics;
    failover.failure = failure;
    failover.mayHaveRun = m_mayHaveRun || !wasNotRun(failure);
    failover.answerStarted = m_isResponseStarted;
    failover.attemptsSent = m_attemptsSent;
    failover.maxAttempts = m_route->maxAttempts;
    failover.attemptsNotRun = m_attemptsNotRun;
    failover.mayCrashRunners = hasRunnerCrashed && m_context.promptGuard().isSuspect(m_pool, m_request.promptParts);
    failover.retryAllowed = m_context.retryBudgetOf(m_pool).canRetry(m_context.entriesSharingRetries(), now);
    failover.timeLeft = timeLeft(now);
    return failover;
}

void request_relay::retryOrFail(attempt_failure failure, const char* why, bool hasRunnerCrashed)
{
    const time_point now = steadyNow();
    // Only attempts that may have run count toward the route's limit; a request that was not run may go to another runner.
    if (wasNotRun(failure)) {
        ++m_attemptsNotRun;
        --m_attemptsSent;
    }
    m_mayHaveRun = m_mayHaveRun || !wasNotRun(failure);
    const failover_context failover = failoverContext(failure, hasRunnerCrashed);
    const failover_action action = chooseFailoverAction(failover);
    m_context.log().write("attempt_failed", { { "request", m_request.attemptId }, { "runner", m_attempt.runner.value() }, { "failure", nameOf(failure) }, { "why", why }, { "after_ms", milliseconds(now - m_attempt.sentAt) }, { "sent", static_cast<std::int64_t>(m_attemptsSent) }, { "answer_begun", m_attempt.hasReceivedEvent }, { "runner_ended", hasRunnerCrashed }, { "retry_allowed", failover.retryAllowed }, { "again", action == failover_action::TryAnother } });
    if (action != failover_action::TryAnother && waitForSilentAttempt())
        return;
    switch (action) {
    case failover_action::TryAnother:
        if (failure != attempt_failure::NotConnected)
            reserveRetry();
        dispatchOrEnqueue();
        return;
    case failover_action::RefuseNotRun:
        reject(why);
        return;
    case failover_action::ForwardError:
        m_caller->respond(m_attempt.head->status, m_attempt.head->forwardedHeaders, m_attempt.body);
        finish("answered", m_attempt.head->status, why);
        return;
    case failover_action::FailUnknown:
        fail(502, "unknown", why);
        return;
    case failover_action::AbortStream:
        m_caller->abort();
        finish("broken_off", 0, why);
        return;
    }
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
    m_context.log().write("request", { { "request", m_request.attemptId }, { "outcome", outcome }, { "status", static_cast<std::int64_t>(status) }, { "why", why }, { "route", m_route ? std::string_view(m_route->name) : std::string_view() }, { "runner", m_attempt.runner.value() }, { "total_ms", milliseconds(total) }, { "first_ms", milliseconds(m_timeToFirstEvent) }, { "longest_gap_ms", milliseconds(m_maxEventGap) }, { "events", static_cast<std::int64_t>(m_attempt.events.eventCount()) }, { "waiting", static_cast<std::int64_t>(m_pool.value().empty() ? 0 : m_context.queueOf(m_pool).size()) } });
    m_context.metrics().recordRequest(outcome, total);
    m_deadlineTimer.cancel();
    m_silenceTimer.cancel();
    m_caller->setDisconnectHandler(nullptr);
    leaveQueue();
    m_context.dispatchWaiting(m_pool);
}

}
