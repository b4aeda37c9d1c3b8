#include "fleet/request_relay.h"

#include "fleet/entry_context.h"
#include "fleet/event_log.h"
#include "fleet/process_metrics.h"
#include "fleet/request_totals.h"
#include "fleet/steady_time.h"
#include "platform/request_translation.h"
#include "relay/http_response_head.h"
#include "relay/http_server_connection.h"
#include "relay/incoming_body.h"
#include "serving/response_head_check.h"
#include "serving/traffic_route.h"

#include <algorithm>
#include <memory>

namespace sardinelb {

namespace {

constexpr std::chrono::milliseconds backlogCheckInterval { 20 };

// Most that is buffered of a response: of one that is no stream, of one event of a stream, and of all responses together. A runner in
// trouble may send bytes without end.
constexpr std::size_t maxBodyBytes = 8388608;
constexpr std::size_t maxEventBytes = 1048576;
constexpr std::size_t maxBufferedResponseBytes = 33554432;

// Memory of a buffered response in proportion to its bytes. Buffers grow, and whole events are copied before they are sent.
constexpr std::size_t bufferedMemoryFactor = 2;

constexpr int firstServerErrorStatus = 500;

}

void request_relay::recordAnswer()
{
    if (m_attempt.hasAnswered)
        return;
    m_attempt.hasAnswered = true;
    if (!m_request.promptParts.empty())
        m_context.promptGuard().onAnswer(m_pool, m_request.promptParts);
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
    if (isFromAddressedRunner(*m_attempt.head, expected)) {
        m_context.onNamedLimit(m_attempt.runner, m_attempt.head->requestsPerSecond);
        m_context.onRunnerSignals(m_attempt.runner, m_attempt.process, *m_attempt.head);
    }
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
        appendToBody(part);
    if (!m_attempt.exchange)
        return;
    if (!updateBufferedBytes()) {
        onAttemptFailed(attempt_failure::OutcomeUnknown, "response is too long to buffer");
        return;
    }
    if (reserveBufferedBytes())
        return;
    if (m_attempt.isRelayingStream) {
        endForLackOfMemory();
        return;
    }
    m_attempt.exchange->pause();
    scheduleBacklogCheck();
}

void request_relay::endForLackOfMemory()
{
    cancelExchange();
    dropResponse();
    m_context.runners().onAttemptAbandoned(m_attempt.runner);
    retryOrFail(attempt_failure::OutcomeUnknown, "no memory is free for the event", false);
}

void request_relay::appendToBody(std::string_view part)
{
    m_attempt.body.reserve(grownCapacity(m_attempt.body.capacity(), m_attempt.body.size() + part.size()));
    m_attempt.body += part;
}

std::size_t request_relay::attemptBytes() const
{
    return m_attempt.body.size() + m_attempt.events.pendingBytes();
}

bool request_relay::updateBufferedBytes()
{
    const std::size_t bytes = attemptBytes();
    std::size_t allBytes = bytes;
    for (const runner_attempt& silent : m_silentAttempts)
        allBytes += silent.events.pendingBytes();
    std::size_t& total = m_totals->bufferedResponseBytes;
    const bool isGrowing = allBytes > m_bufferedBytes;
    total += allBytes - m_bufferedBytes;
    m_bufferedBytes = allBytes;
    if (bytes > (m_attempt.isRelayingStream ? maxEventBytes : maxBodyBytes))
        return false;
    while (isGrowing && total > maxBufferedResponseBytes) {
        if (!endLargerResponse())
            return false;
    }
    if (!isGrowing)
        reserveBufferedBytes();
    return true;
}

bool request_relay::endLargerResponse()
{
    std::shared_ptr<request_relay> largest = shared_from_this();
    m_context.forEachRequest([&](request_relay& other) {
        if (other.m_attempt.exchange && other.attemptBytes() > largest->attemptBytes())
            largest = other.shared_from_this();
    });
    if (largest.get() == this)
        return false;
    largest->onAttemptFailed(attempt_failure::OutcomeUnknown, "response is too long to buffer beside those of others");
    return true;
}

bool request_relay::reserveBufferedBytes()
{
    return m_caller->reserveAnswer(m_bufferedBytes * bufferedMemoryFactor);
}

bool request_relay::isEventTooLong(const runner_attempt& attempt)
{
    return attempt.events.pendingBytes() > maxEventBytes;
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
    if (m_caller->unsentBytes() > m_caller->maxUnsentBytes()) {
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
        if (self->m_caller->unsentBytes() > self->m_caller->maxUnsentBytes() / 2 || !self->reserveBufferedBytes()) {
            self->scheduleBacklogCheck();
            return;
        }
        self->m_attempt.exchange->resume();
        if (!self->m_attempt.isRelayingStream)
            return;
        self->m_attempt.lastEventAt = steadyNow();
        self->startSilenceTimer(self->m_attempt.lastEventAt);
    });
}

void request_relay::onExchangeEnd(runner_exchange::result result)
{
    if (result == runner_exchange::result::NotConnected)
        onAttemptFailed(attempt_failure::NotConnected, "connection to runner failed");
    else if (result == runner_exchange::result::Broken || hasStreamEndedEarly(m_attempt, result))
        onAttemptFailed(attempt_failure::OutcomeUnknown, "response ended early or is malformed");
    else if (result == runner_exchange::result::EndedByClose)
        confirmUnframedEnd();
    else
        onResponseComplete();
}

void request_relay::confirmUnframedEnd()
{
    m_silenceTimer.cancel();
    m_attempt.isEndUnconfirmed = true;
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_context.executor(), runnerEndTime);
    timer->async_wait([self = shared_from_this(), timer, number = m_attempt.number](const boost::system::error_code& error) {
        if (!error && self->isEndUnconfirmed(number))
            self->checkRunnerAfterUnframedEnd();
    });
}

bool request_relay::isEndUnconfirmed(std::uint32_t number) const
{
    return !m_isFinished && isCurrent(number) && m_attempt.exchange && m_attempt.isEndUnconfirmed;
}

request_relay::unframed_end request_relay::judgeUnframedEnd(const runner_attempt& attempt) const
{
    if (attempt.head && attempt.head->isLeaving)
        return unframed_end::Whole;
    const runner_record* record = m_context.runners().find(attempt.runner);
    if (!record)
        return unframed_end::Whole;
    if (processOf(record->listing) != attempt.process)
        return unframed_end::Broken;
    return record->isLeaving || record->listing.isDraining ? unframed_end::Whole : unframed_end::Unknown;
}

void request_relay::checkRunnerAfterUnframedEnd()
{
    const unframed_end end = judgeUnframedEnd(m_attempt);
    if (end != unframed_end::Unknown) {
        onUnframedEndChecked(end == unframed_end::Broken);
        return;
    }
    m_context.promptGuard().checkRunner(m_context.runners().find(m_attempt.runner)->listing, [self = shared_from_this(), number = m_attempt.number](bool hasEnded) {
        if (self->isEndUnconfirmed(number))
            self->onUnframedEndChecked(hasEnded);
    });
}

void request_relay::onUnframedEndChecked(bool hasRunnerEnded)
{
    if (hasRunnerEnded)
        onAttemptFailed(attempt_failure::OutcomeUnknown, "runner ended together with a response of unknown length");
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

void request_relay::dropResponse()
{
    m_attempt.head.reset();
    m_attempt.body.clear();
    m_attempt.body.shrink_to_fit();
    m_attempt.events.dropPartialEvent();
    updateBufferedBytes();
}

}
