#pragma once

#include "platform/settings.h"
#include "serving/admission_queue.h"
#include "serving/retry_budget_share.h"
#include "serving/runner_directory.h"
#include "state/ids.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

namespace sardinelb {

class event_log;
class process_metrics;
class request_relay;
class route_index;
struct traffic_route;

// What the requests of one entry share: the configuration and runners that it believes in, the work that waits for room,
// and the allowance for retries.
class entry_context {
public:
    entry_context(boost::asio::any_io_executor, const platform::settings&, event_log&, process_metrics&);
    ~entry_context();

    // Puts the configuration in force; a version that is not newer is ignored.
    void setConfiguration(std::shared_ptr<const route_index>);
    void setRunners(const std::vector<listed_runner>&);
    void setEntriesAlive(std::size_t count);

    // Null until a configuration is known.
    const std::shared_ptr<const route_index>& routes() const { return m_routes; }
    config_version configurationVersion() const;
    runner_directory& runners() { return m_runners; }
    event_log& log() { return m_log; }
    process_metrics& metrics() { return m_metrics; }
    const boost::asio::any_io_executor& executor() const { return m_executor; }
    std::size_t entriesAlive() const { return m_entriesAlive; }

    retry_budget_share& retriesOf(const pool_id&);
    admission_queue& lineOf(const pool_id& pool) { return m_lines[pool]; }

    // Rate at which places of the pool become free for this entry, if all entries get their part.
    double freedSlotsPerSecond(const pool_id&) const;

    // Time after which a caller that is refused for want of a configuration should come back.
    duration retryDelayWithoutConfiguration();

    // Puts a request into the line of its pool; it is told by request_relay::placeFound() or waitEnded().
    void wait(const pool_id&, const waiting_request&, std::weak_ptr<request_relay>);
    void stopWaiting(const pool_id&, std::uint64_t ticket);
    std::uint64_t nextTicket() { return ++m_lastTicket; }

    // Gives room to waiting requests. Call whenever room may have appeared.
    void fillRoom(const pool_id&);
    void fillRoom();

    // Returns the longest patience that a caller of the route has named, this one included.
    duration longestPatience(const std::string& route, duration patience);

    // Picks one of the pools of a route by weight.
    const pool_id* pickPool(const traffic_route&);

    std::size_t activeRequests = 0;

private:
    void scheduleFill();

    boost::asio::any_io_executor m_executor;
    const platform::settings& m_settings;
    event_log& m_log;
    process_metrics& m_metrics;
    std::mt19937_64 m_random;
    std::shared_ptr<const route_index> m_routes;
    runner_directory m_runners;
    std::map<pool_id, admission_queue> m_lines;
    std::unordered_map<std::uint64_t, std::weak_ptr<request_relay>> m_waiting;
    std::unordered_map<pool_id, retry_budget_share> m_retries;
    std::unordered_map<std::string, duration> m_longestPatience;
    std::uint64_t m_lastTicket = 0;
    std::size_t m_entriesAlive = 1;
    time_point m_startedAt;
    boost::asio::steady_timer m_fillTimer;
    bool m_isFillScheduled = false;
};

}
