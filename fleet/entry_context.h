#pragma once

#include "fleet/prompt_guard.h"
#include "platform/settings.h"
#include "serving/admission_queue.h"
#include "serving/demand_share.h"
#include "serving/recent_entries.h"
#include "serving/recent_maximum.h"
#include "serving/retry_budget_share.h"
#include "serving/runner_directory.h"
#include "serving/zone_evacuations.h"
#include "state/ids.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <unordered_map>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

namespace sardinelb {

class event_log;
class process_metrics;
class request_relay;
class route_index;
struct request_totals;
struct runner_pool_profile;
struct runner_response_head;
struct traffic_route;

// State shared by the requests of one entry: its current configuration and runners, the queues of waiting requests, and the
// retry budgets.
class entry_context {
public:
    entry_context(boost::asio::any_io_executor, const platform::settings&, event_log&, process_metrics&);
    ~entry_context();

    // Applies the configuration; ignored unless its version is newer.
    void setConfiguration(std::shared_ptr<const route_index>);
    void setRunners(const std::vector<listed_runner>&);
    // Sets the addresses of all live entries, including this one.
    void setEntries(std::vector<std::string> addresses);

    // Null before the first configuration.
    const std::shared_ptr<const route_index>& routes() const { return m_routes; }
    config_version configurationVersion() const;
    runner_directory& runners() { return m_runners; }
    event_log& log() { return m_log; }
    process_metrics& metrics() { return m_metrics; }
    const boost::asio::any_io_executor& executor() const { return m_executor; }
    // The most entries that were alive at once in the window of the retry budget. The retries of those that have stopped still count.
    std::size_t entriesSharingRetries() const { return m_maxEntryCount.value(); }

    retry_budget_share& retryBudgetOf(const pool_id&);
    admission_queue& queueOf(const pool_id& pool) { return m_queues[pool]; }

    // Rate at which slots of the pool become free for this entry.
    double freedSlotsPerSecond(const pool_id&) const;

    // Retry-After time for callers that are rejected because no configuration is known.
    duration retryDelayWithoutConfiguration();

    // Adds a request to the queue of its pool. Ends with a call of request_relay::onSlotAvailable() or onNoFreeSlot(),
    // unless dequeue() is called first.
    void enqueue(const pool_id&, const waiting_request&, std::weak_ptr<request_relay>);
    void dequeue(const pool_id&, std::uint64_t ticket);
    std::uint64_t nextTicket() { return ++m_lastTicket; }

    // Dispatches waiting requests while runners have free slots. Must be called whenever a slot may have become free.
    void dispatchWaiting(const pool_id&);
    void dispatchWaiting();

    // Records the timeout of a caller and returns the longest one seen on the route.
    duration updateMaxCallerTimeout(const std::string& route, duration timeout);

    // Picks one of the pools of a route by weight.
    const pool_id* pickPool(const traffic_route&);

    demand_share& demand() { return m_demand; }

    // Keeps prompt parts that crash runners away from them.
    prompt_guard& promptGuard() { return m_promptGuard; }

    // A runner named a limit in an answer, or none.
    void onNamedLimit(const runner_id&, std::optional<double> requestsPerSecond);
    // An answer of a runner's process may say that it leaves or wants nothing for a while.
    void onRunnerSignals(const runner_id&, runner_process_id, const runner_response_head&);
    // Processes that have said to another entry that they leave.
    void onLeavingRunners(const std::vector<runner_process_id>&);
    // Called when a runner's process says to this entry that it leaves, so that the others learn of it at once.
    void setLeavingHandler(std::function<void()> handler) { m_onLeaving = std::move(handler); }

    // Logs how many runners may be cold, if there are any.
    void logWarmUps();

    // Runners' processes that have said to another entry, or in the list that it follows, that they are cold.
    void onColdRunners(const std::vector<cold_runner>&);

    // Logs that a runner has said that it is cold.
    void logCold(const cold_runner&);

    // Evacuated availability zones. The first two take what the store says, see zone_evacuations; the third what another entry says.
    const zone_evacuations& evacuations() const { return m_evacuations; }
    void onEvacuationSnapshot(const std::vector<zone_evacuations::change>&, store_revision asOf);
    void onEvacuationChanges(const std::vector<zone_evacuations::change>&, store_revision base, store_revision asOf);
    void onPeerEvacuations(const zone_evacuation_view&, const std::string& ip);
    void removeExpiredEvacuations();
    // Called when the evacuated zones have changed, so that the other entries learn of it at once.
    void setEvacuationHandler(std::function<void()> handler) { m_onEvacuation = std::move(handler); }

    // Limits that runners named in answers to another entry.
    void onLimitUpdates(const std::vector<runner_limit_update>&);

    const std::shared_ptr<request_totals>& totals() const { return m_totals; }

    // Requests register until they end.
    void addRequest(request_relay*, std::weak_ptr<request_relay>);
    void removeRequest(request_relay*);
    void forEachRequest(const std::function<void(request_relay&)>&);

    // Announces that the process ends at `endsAt`. Requests that arrive after `acceptsUntil` are rejected unless their time limit
    // ends before the process does.
    void beginStop(time_point acceptsUntil, time_point endsAt);

    // Whether a request that arrives now may outlast this process.
    bool isTooLateFor(time_point deadline, time_point now) const;

private:
    void scheduleDispatch();
    // Applies the configured properties of the runners of a pool.
    void setProfile(const runner_pool_profile&);
    // Puts a change of the evacuated zones in force.
    void applyEvacuations(const char* toldBy);
    // Ends the requests of pools whose runners are all in evacuated zones.
    void rejectWaitingIfEvacuated(const pool_id&, admission_queue&, time_point now);
    // Decides whether the runners of the pool should work off late requests in all their slots.
    void updateBacklog(const pool_id&, const admission_queue&, time_point now);

    boost::asio::any_io_executor m_executor;
    const platform::settings& m_settings;
    event_log& m_log;
    process_metrics& m_metrics;
    std::mt19937_64 m_random;
    std::shared_ptr<const route_index> m_routes;
    runner_directory m_runners;
    demand_share m_demand;
    prompt_guard m_promptGuard;
    std::map<pool_id, admission_queue> m_queues;
    std::unordered_map<std::uint64_t, std::weak_ptr<request_relay>> m_waiting;
    std::shared_ptr<request_totals> m_totals;
    std::unordered_map<request_relay*, std::weak_ptr<request_relay>> m_requests;
    // Set while the process stops.
    std::optional<time_point> m_acceptsUntil;
    time_point m_endsAt;
    std::unordered_map<pool_id, retry_budget_share> m_retryBudgets;
    std::unordered_map<std::string, duration> m_maxCallerTimeouts;
    std::uint64_t m_lastTicket = 0;
    recent_maximum m_maxEntryCount;
    recent_entries m_warmUpEntries;
    time_point m_startedAt;
    boost::asio::steady_timer m_dispatchTimer;
    bool m_isDispatchScheduled = false;
    std::function<void()> m_onLeaving;
    zone_evacuations m_evacuations;
    std::function<void()> m_onEvacuation;
};

}
