#pragma once

#include "fleet/runner_attempt.h"
#include "relay/runner_exchange.h"
#include "serving/attempt_failure.h"
#include "serving/key_owner.h"
#include "serving/proxied_request.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/steady_timer.hpp>

namespace sardinelb {

class http_server_connection;
class entry_context;
class route_index;
struct expected_response;
struct failover_context;
struct http_response_head;
struct request_totals;
struct runner_crash;
struct runner_record;
struct traffic_route;

// Relays one caller's request: queues it until a runner has a free slot, sends it, retries it at another runner after a failure
// if that is safe, and forwards the response. Decisions are made by the modules of serving/. The reading of responses is in
// request_relay_response.cpp, what follows failures and silence in request_relay_failover.cpp.
class request_relay : public std::enable_shared_from_this<request_relay> {
public:
    request_relay(entry_context&, std::shared_ptr<http_server_connection>, proxied_request);
    ~request_relay();

    // Dispatches or queues the request, or rejects it immediately if it cannot be served.
    void start();

    // Called when this request leaves the queue because a runner has a free slot.
    void onSlotAvailable();

    // Called when a prompt part has been quarantined. Ends the request if it has the part and its answer has not begun.
    void onQuarantine();

    // Called when the process is about to end. Ends the request with an answer that tells whether it may have run, if that is still
    // possible.
    void onProcessEnd();

    // Called when waiting is pointless because no slot will become free in time. Ends the request.
    void onNoFreeSlot();

private:
    bool authorize();
    void dispatchOrEnqueue();
    // 0 is the highest.
    std::int32_t priority() const;
    void enqueue();
    void startAttempt(const runner_id&);
    void onHead(const http_response_head&);
    expected_response expectedResponse() const;
    // Logs the head of a response that the request cannot simply be answered with.
    void logUnexpectedHead() const;
    void startStream();
    void onBody(std::string_view);
    void onEvents(std::string_view);
    void forwardEvents(const std::string&);
    void onExchangeEnd(runner_exchange::result);
    void appendToBody(std::string_view);
    // What is buffered of the response to the current attempt.
    std::size_t attemptBytes() const;
    // Counts the buffered part of the response. Returns false if it is too long to buffer, alone or beside those of other requests.
    bool updateBufferedBytes();
    // Ends the attempt whose buffered response is the largest of all, so that others have room. Returns false if that is this one's.
    bool endLargerResponse();
    // Returns false if there is no memory for the buffered part of the response.
    bool reserveBufferedBytes();
    // Ends the attempt without holding that against its runner.
    void endForLackOfMemory();
    static bool isEventTooLong(const runner_attempt&);
    // Whether the stream of a response that is complete by its framing ended inside an event or before the first one.
    static bool hasStreamEndedEarly(const runner_attempt&, runner_exchange::result);
    // Completes a response without a length or chunks, which has ended with its connection, unless its runner's process has ended, too:
    // then the rest of the response may be missing. A process that is leaving has finished its responses.
    void confirmUnframedEnd();
    void checkRunnerAfterUnframedEnd();
    // Whether a response that has ended with its connection is whole, as far as the list and the runner's own word tell.
    enum class unframed_end { Whole,
        Broken,
        Unknown };
    unframed_end judgeUnframedEnd(const runner_attempt&) const;
    bool isEndUnconfirmed(std::uint32_t number) const;
    void checkSilentRunnerAfterUnframedEnd(std::uint32_t number);
    void endSilentAttempt(std::uint32_t number, bool hasRunnerEnded);
    void onUnframedEndChecked(bool hasRunnerEnded);
    void onResponseComplete();
    void onAttemptFailed(attempt_failure, const char* why);
    // Forgets a response that is not forwarded, and frees what is buffered of it.
    void dropResponse();
    // Whether an attempt that failed may have ended its runner, or lost it before its answer began.
    bool mayRunnerHaveCrashed(attempt_failure) const;
    failover_context failoverContext(attempt_failure, bool hasCrashedRunner);
    // `hasCrashedRunner` tells that the runner has ended and that this request may be the cause.
    void retryOrFail(attempt_failure, const char* why, bool hasCrashedRunner);
    // Ends the request without another attempt.
    void endUnserved(const char* why, std::optional<duration> retryAfter);
    std::optional<duration> quarantineLeft() const;
    void recordAnswer();
    bool isCurrent(std::uint32_t number) const { return m_attempt.number == number; }
    // Calls onSilence() once no event has arrived for a while since `since`.
    void startSilenceTimer(time_point since);
    bool isSilent() const;
    // Continues a silent stream at another runner, if that is allowed. The silent attempt is kept until another one delivers an
    // event, because a runner's silence alone does not end a stream.
    void onSilence();
    // What is known of this request if the runner of its attempt has crashed.
    runner_crash possibleCrash(const runner_record&) const;
    void onSilentRunnerEnded(bool isByRequest);
    void continueElsewhere();
    std::vector<runner_attempt>::iterator findSilentAttempt(std::uint32_t number);
    void onSilentBody(std::uint32_t number, std::string_view);
    void onSilentEnd(std::uint32_t number, runner_exchange::result);
    // Makes a silent attempt that delivers again the current one, and ends the attempt that was to continue its stream.
    void resumeSilentAttempt(std::vector<runner_attempt>::iterator);
    // Makes the last silent attempt the current one, because no other runner can continue its stream. Returns false if there is none.
    bool waitForSilentAttempt();
    void abandonSilentAttempt(std::vector<runner_attempt>::iterator, const char* why);
    void abandonSilentAttempts();
    // Ends the current attempt. Returns false if none is in flight.
    bool abandonAttempt();
    void leaveQueue();
    void reserveRetry();
    // Ends the reservation in the retry budget, if there is one.
    void onRetrySent();
    void giveUpRetry();
    void scheduleBacklogCheck();
    void endAtTimeLimit(const char* why);
    void onCallerDisconnect();
    void reject(const char* why);
    void reject(const char* why, duration retryAfter);
    void fail(int status, const char* outcome, const char* why);
    void finish(const char* outcome, int status, const char* why);
    duration timeLeft(time_point now) const;
    void cancelExchange();
    runner_exchange::hooks exchangeHooks();

    entry_context& m_context;
    std::shared_ptr<request_totals> m_totals;
    std::shared_ptr<http_server_connection> m_caller;
    proxied_request m_request;
    std::shared_ptr<const route_index> m_routes;
    const traffic_route* m_route = nullptr;
    std::optional<key_owner> m_holder;
    pool_id m_pool;
    time_point m_arrivedAt;
    time_point m_deadline;
    boost::asio::steady_timer m_deadlineTimer;
    boost::asio::steady_timer m_silenceTimer;
    std::optional<std::uint64_t> m_ticket;
    bool m_isCallerRetry = false;

    // The current attempt, or the last one while another is to be sent.
    runner_attempt m_attempt;
    // Attempts whose stream has been silent for a while, kept while another attempt is to continue it.
    std::vector<runner_attempt> m_silentAttempts;
    // Bytes of the response that are counted in request_totals::bufferedResponseBytes.
    std::size_t m_bufferedBytes = 0;
    // Time from the caller's request to the first event of its stream, and the longest time between two events.
    duration m_timeToFirstEvent {};
    duration m_maxEventGap {};

    // Over all attempts.
    std::vector<runner_id> m_triedRunners;
    std::uint32_t m_attemptsSent = 0;
    std::uint32_t m_attemptsNotRun = 0;
    // Whether the next attempt is reserved in the retry budget.
    bool m_hasReservedRetry = false;
    bool m_mayHaveRun = false;
    bool m_isResponseStarted = false;
    bool m_isFinished = false;
};

}
