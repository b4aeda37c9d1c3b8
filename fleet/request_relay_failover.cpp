#include "fleet/request_relay.h"

#include "fleet/entry_context.h"
#include "fleet/event_log.h"
#include "fleet/process_metrics.h"
#include "fleet/steady_time.h"
#include "relay/http_server_connection.h"
#include "serving/failover_action.h"
#include "serving/runner_crash.h"
#include "serving/traffic_route.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace sardinelb {

namespace {

// A started stream that is silent for this long is continued by another runner, since callers disconnect after two seconds.
constexpr duration streamSilenceTimeout = std::chrono::milliseconds(1100);

}

void request_relay::startSilenceTimer(time_point since)
{
    if (m_route->retrySemantics != retry_semantics::ResumableStream)
        return;
    m_silenceTimer.expires_after(since + streamSilenceTimeout - steadyNow());
    m_silenceTimer.async_wait([self = shared_from_this(), number = m_attempt.number](const boost::system::error_code& error) {
        if (error || !self->isCurrent(number) || !self->m_attempt.exchange || !self->m_attempt.isRelayingStream || self->m_attempt.isEndUnconfirmed)
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
    m_context.promptGuard().onAttemptBroken(record->listing.address, possibleCrash(*record), [self = shared_from_this(), number = m_attempt.number](crash_detector::outcome outcome) {
        if (!self->isCurrent(number) || !self->m_attempt.exchange || self->m_attempt.isEndUnconfirmed || !self->isSilent())
            return;
        if (outcome == crash_detector::outcome::Running)
            self->continueElsewhere();
        else
            self->onSilentRunnerEnded(outcome == crash_detector::outcome::EndedByRequest);
    });
}

runner_crash request_relay::possibleCrash(const runner_record& record) const
{
    const runner_directory& runners = m_context.runners();
    const time_point now = steadyNow();
    // The record may be that of the next process already.
    const bool isKnown = processOf(record.listing) == m_attempt.process;
    return { m_attempt.process, m_attempt.runner, m_pool, m_request.promptParts, record.group, isKnown && runners.isCold(record, now), isKnown && runners.isOverrun(record, now) };
}

void request_relay::onSilentRunnerEnded(bool isByRequest)
{
    cancelExchange();
    dropResponse();
    m_context.runners().onAttemptAbandoned(m_attempt.runner);
    retryOrFail(attempt_failure::OutcomeUnknown, "runner ended without closing the connection", isByRequest);
}

void request_relay::continueElsewhere()
{
    const time_point now = steadyNow();
    const bool canContinue = chooseFailoverAction(failoverContext(attempt_failure::OutcomeUnknown, false)) == failover_action::TryAnother;
    m_context.log().write("attempt_silent", { { "request", m_request.attemptId }, { "runner", m_attempt.runner.value() }, { "silent_ms", wholeMilliseconds(now - m_attempt.lastEventAt) }, { "again", canContinue } });
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
    if (silent->events.isMalformed() || isEventTooLong(*silent) || !updateBufferedBytes()) {
        abandonSilentAttempt(silent, "stream contains bytes that are no next event");
        return;
    }
    if (events.empty())
        return;
    resumeSilentAttempt(silent);
    // Before the events are forwarded, because that may use the timer for a backlog instead.
    startSilenceTimer(steadyNow());
    forwardEvents(events);
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
    if (result != runner_exchange::result::EndedByClose) {
        resumeSilentAttempt(silent);
        onExchangeEnd(result);
        return;
    }
    silent->isEndUnconfirmed = true;
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_context.executor(), runnerEndTime);
    timer->async_wait([self = shared_from_this(), timer, number](const boost::system::error_code& error) {
        if (!error)
            self->checkSilentRunnerAfterUnframedEnd(number);
    });
}

void request_relay::checkSilentRunnerAfterUnframedEnd(std::uint32_t number)
{
    // It may have become the current attempt meanwhile, because no other runner could continue the stream.
    if (isEndUnconfirmed(number)) {
        checkRunnerAfterUnframedEnd();
        return;
    }
    const auto silent = findSilentAttempt(number);
    if (silent == m_silentAttempts.end())
        return;
    const unframed_end end = judgeUnframedEnd(*silent);
    if (end != unframed_end::Unknown) {
        endSilentAttempt(number, end == unframed_end::Broken);
        return;
    }
    m_context.promptGuard().checkRunner(m_context.runners().find(silent->runner)->listing, [self = shared_from_this(), number](bool hasEnded) {
        if (self->isEndUnconfirmed(number))
            self->onUnframedEndChecked(hasEnded);
        else
            self->endSilentAttempt(number, hasEnded);
    });
}

void request_relay::endSilentAttempt(std::uint32_t number, bool hasRunnerEnded)
{
    const auto silent = findSilentAttempt(number);
    if (silent == m_silentAttempts.end())
        return;
    if (hasRunnerEnded) {
        abandonSilentAttempt(silent, "runner ended together with a response of unknown length");
        return;
    }
    resumeSilentAttempt(silent);
    onResponseComplete();
}

void request_relay::resumeSilentAttempt(std::vector<runner_attempt>::iterator silent)
{
    m_context.log().write("attempt_resumed", { { "request", m_request.attemptId }, { "runner", silent->runner.value() }, { "silent_ms", wholeMilliseconds(steadyNow() - silent->lastEventAt) } });
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

void request_relay::onAttemptFailed(attempt_failure failure, const char* why)
{
    cancelExchange();
    if (failure != attempt_failure::ServerError)
        dropResponse();
    const runner_record* record = m_context.runners().find(m_attempt.runner);
    if (record && failure == attempt_failure::Rejected && m_context.runners().isCold(*record, steadyNow()))
        m_context.metrics().count("cold_runner_rejected");
    const bool isCrashPossible = record && mayRunnerHaveCrashed(failure);
    if (isCrashPossible) {
        m_mayHaveRun = true;
        m_context.promptGuard().onAttemptBroken(record->listing.address, possibleCrash(*record), [self = shared_from_this(), number = m_attempt.number, failure, why](crash_detector::outcome outcome) {
            if (!self->m_isFinished && self->isCurrent(number))
                self->retryOrFail(failure, why, outcome == crash_detector::outcome::EndedByRequest);
        });
    }
    m_context.runners().onAttemptFailed(m_attempt.runner, failure, steadyNow());
    if (!isCrashPossible)
        retryOrFail(failure, why, false);
}

bool request_relay::mayRunnerHaveCrashed(attempt_failure failure) const
{
    return failure == attempt_failure::OutcomeUnknown && !m_attempt.hasAnswered && !m_request.promptParts.empty();
}

failover_context request_relay::failoverContext(attempt_failure failure, bool hasCrashedRunner)
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
    failover.mayCrashRunners = hasCrashedRunner && m_context.promptGuard().isSuspect(m_pool, m_request.promptParts);
    failover.retryAllowed = m_context.retryBudgetOf(m_pool).canRetry(m_context.entriesSharingRetries(), now);
    failover.timeLeft = timeLeft(now);
    return failover;
}

void request_relay::retryOrFail(attempt_failure failure, const char* why, bool hasCrashedRunner)
{
    const time_point now = steadyNow();
    // Only attempts that may have run count toward the route's limit; a request that was not run may go to another runner.
    if (wasNotRun(failure)) {
        ++m_attemptsNotRun;
        --m_attemptsSent;
    }
    m_mayHaveRun = m_mayHaveRun || !wasNotRun(failure);
    const failover_context failover = failoverContext(failure, hasCrashedRunner);
    const failover_action action = chooseFailoverAction(failover);
    m_context.log().write("attempt_failed", { { "request", m_request.attemptId }, { "runner", m_attempt.runner.value() }, { "failure", nameOf(failure) }, { "why", why }, { "after_ms", wholeMilliseconds(now - m_attempt.sentAt) }, { "sent", static_cast<std::int64_t>(m_attemptsSent) }, { "answer_begun", m_attempt.hasReceivedEvent }, { "may_have_crashed_runner", hasCrashedRunner }, { "retry_allowed", failover.retryAllowed }, { "again", action == failover_action::TryAnother } });
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

}
