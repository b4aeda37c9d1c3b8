#pragma once

#include "relay/runner_exchange.h"
#include "serving/attempt_failure.h"
#include "serving/event_splitter.h"
#include "serving/key_holder.h"
#include "serving/proxied_request.h"
#include "serving/runner_response_head.h"
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

class caller_connection;
class entry_context;
class route_index;
struct http_response_head;
struct traffic_route;

// One caller's request on its way: it waits for room, is sent to a runner, perhaps to another one after a failure, and its
// answer is passed on. Decisions are made by the modules of serving/.
class request_relay : public std::enable_shared_from_this<request_relay> {
public:
    request_relay(entry_context&, std::shared_ptr<caller_connection>, proxied_request);
    ~request_relay();

    // Answers at once if the request cannot be served, and sets out otherwise.
    void start();

    // There is room for this request now.
    void placeFound();

    // The request can no longer be served by waiting.
    void waitEnded();

private:
    bool authorize();
    void findPlace();
    void waitForPlace();
    void launch(const runner_id&);
    void headArrived(const http_response_head&);
    void streamBegan();
    void bodyArrived(std::string_view);
    void eventsArrived(std::string_view);
    void exchangeEnded(runner_exchange::ending);
    void answerComplete();
    void attemptFailed(attempt_failure, const char* why);
    void continueAfter(attempt_failure, const char* why);
    void watchStream();
    void watchBacklog();
    void timeIsUp();
    void callerLeft();
    void refuse(const char* why);
    void fail(int status, const char* outcome, const char* why);
    void finish(const char* outcome, int status, const char* why);
    duration timeLeft(time_point now) const;
    void dropExchange();
    runner_exchange::hooks exchangeHooks();

    entry_context& m_context;
    std::shared_ptr<caller_connection> m_caller;
    proxied_request m_request;
    std::shared_ptr<const route_index> m_routes;
    const traffic_route* m_route = nullptr;
    std::optional<key_holder> m_holder;
    pool_id m_pool;
    time_point m_arrivedAt;
    time_point m_deadline;
    boost::asio::steady_timer m_deadlineTimer;
    boost::asio::steady_timer m_silenceTimer;
    std::optional<std::uint64_t> m_ticket;
    bool m_isReturning = false;

    // The attempt that runs now.
    std::shared_ptr<runner_exchange> m_exchange;
    runner_id m_runner;
    time_point m_sentAt;
    std::optional<runner_response_head> m_head;
    std::string m_body;
    bool m_isRelayingStream = false;
    // Whether an event has come from this attempt.
    bool m_hasEvents = false;
    time_point m_lastEventAt;
    // From the caller's request to the first event of its stream, and the longest pause between two events.
    duration m_firstEventAfter {};
    duration m_longestGap {};

    // All attempts together.
    std::vector<runner_id> m_tried;
    std::uint32_t m_attemptsSent = 0;
    std::uint32_t m_attemptsNotRun = 0;
    bool m_mayHaveRun = false;
    bool m_answerStarted = false;
    event_splitter m_events;
    bool m_isFinished = false;
};

}
