#include "fleet/entry_context.h"

#include "fleet/event_log.h"
#include "fleet/process_metrics.h"
#include "fleet/request_relay.h"
#include "fleet/request_totals.h"
#include "fleet/steady_time.h"
#include "serving/backlog.h"
#include "serving/retry_delay.h"
#include "serving/route_index.h"
#include "serving/runner_response_head.h"
#include "serving/serving_configuration.h"

#include <algorithm>
#include <set>

namespace sardinelb {

namespace {

// Queued requests are checked this often even without new reports from runners.
constexpr std::chrono::milliseconds dispatchInterval { 20 };

// The number of live entries is known at least this often.
constexpr duration entryCountInterval = std::chrono::seconds(1);

}

entry_context::entry_context(boost::asio::any_io_executor executor, const platform::settings& settings, event_log& log, process_metrics& metrics)
    : m_executor(std::move(executor))
    , m_settings(settings)
    , m_log(log)
    , m_metrics(metrics)
    , m_random(std::random_device {}())
    , m_runners([this] { return std::uniform_real_distribution<double>()(m_random); })
    , m_promptGuard(m_executor, log, metrics, [this] { return std::uniform_real_distribution<double>()(m_random); })
    , m_totals(std::make_shared<request_totals>())
    , m_maxEntryCount(settings.retries.window + entryCountInterval)
    , m_startedAt(steadyNow())
    , m_dispatchTimer(m_executor)
{
    m_runners.setProcessStart(m_startedAt);
    m_promptGuard.setRequestCheck([this] { forEachRequest([](request_relay& relay) { relay.onQuarantine(); }); });
}

entry_context::~entry_context() = default;

void entry_context::addRequest(request_relay* address, std::weak_ptr<request_relay> relay)
{
    m_requests.emplace(address, std::move(relay));
}

void entry_context::removeRequest(request_relay* address)
{
    m_requests.erase(address);
}

void entry_context::forEachRequest(const std::function<void(request_relay&)>& action)
{
    // Copied, because requests that end remove themselves.
    const auto requests = m_requests;
    for (const auto& [address, request] : requests) {
        if (const auto relay = request.lock())
            action(*relay);
    }
}

void entry_context::beginStop(time_point acceptsUntil, time_point endsAt)
{
    m_acceptsUntil = acceptsUntil;
    m_endsAt = endsAt;
}

bool entry_context::isTooLateFor(time_point deadline, time_point now) const
{
    return m_acceptsUntil && now >= *m_acceptsUntil && deadline > m_endsAt;
}

config_version entry_context::configurationVersion() const
{
    return m_routes ? m_routes->configuration().version : config_version {};
}

void entry_context::setConfiguration(std::shared_ptr<const route_index> routes)
{
    if (m_routes && routes->configuration().version <= m_routes->configuration().version)
        return;
    m_routes = std::move(routes);
    for (const auto& [pool, profile] : m_routes->configuration().pools)
        setProfile(profile);
    m_log.write("configuration", { { "version", static_cast<std::int64_t>(configurationVersion().value()) }, { "routes", static_cast<std::int64_t>(m_routes->configuration().routes.size()) } });
    dispatchWaiting();
}

void entry_context::setProfile(const runner_pool_profile& profile)
{
    m_runners.setEngine(profile.pool, profile.engine);
    std::optional<warm_up_limit> warmUp;
    if (profile.coldRequestsPerSecond > 0) {
        const double maxPerSecond = std::max(1.0, profile.coldRequestsPerSecond * m_settings.coldRateFactor + m_settings.coldExtraRequests);
        warmUp = warm_up_limit { profile.coldTime, profile.coldRequestsPerSecond, maxPerSecond };
    }
    m_runners.setWarmUp(profile.pool, warmUp, steadyNow());
}

void entry_context::setRunners(const std::vector<listed_runner>& runners)
{
    m_runners.setRunners(runners, steadyNow());
    dispatchWaiting();
}

void entry_context::setEntries(std::vector<std::string> addresses)
{
    m_maxEntryCount.add(addresses.size(), steadyNow());
    m_runners.setEntryCount(addresses.size());
    m_warmUpEntries.onLiveEntries(addresses, steadyNow());
    m_runners.setEntries(m_settings.ip, std::move(addresses));
    m_runners.setWarmUpEntries(m_warmUpEntries.addresses(), m_warmUpEntries.isSettled(steadyNow()));
}

retry_budget_share& entry_context::retryBudgetOf(const pool_id& pool)
{
    return m_retryBudgets.try_emplace(pool, m_settings.retries, m_startedAt).first->second;
}

duration entry_context::updateMaxCallerTimeout(const std::string& route, duration timeout)
{
    duration& longest = m_maxCallerTimeouts[route];
    longest = std::max(longest, timeout);
    return longest;
}

const pool_id* entry_context::pickPool(const traffic_route& route)
{
    std::uint64_t total = 0;
    for (const auto& part : route.pools)
        total += part.weight;
    if (total == 0)
        return nullptr;
    std::uint64_t remaining = std::uniform_int_distribution<std::uint64_t>(0, total - 1)(m_random);
    for (const auto& part : route.pools) {
        if (remaining < part.weight)
            return &part.pool;
        remaining -= part.weight;
    }
    return nullptr;
}

double entry_context::freedSlotsPerSecond(const pool_id& pool) const
{
    return m_runners.freedSlotsPerSecond(pool) * m_demand.share();
}

duration entry_context::retryDelayWithoutConfiguration()
{
    const double random = std::uniform_real_distribution<double>()(m_random);
    return sardinelb::retryDelayWithoutConfiguration(steadyNow() - m_startedAt, random);
}

void entry_context::enqueue(const pool_id& pool, const waiting_request& request, std::weak_ptr<request_relay> relay)
{
    queueOf(pool).add(request);
    m_waiting[request.ticket] = std::move(relay);
    scheduleDispatch();
}

void entry_context::dequeue(const pool_id& pool, std::uint64_t ticket)
{
    if (m_waiting.erase(ticket) > 0)
        queueOf(pool).remove(ticket);
}

void entry_context::dispatchWaiting(const pool_id& pool)
{
    const auto queue = m_queues.find(pool);
    if (queue == m_queues.end())
        return;
    const time_point now = steadyNow();
    rejectWaitingIfEvacuated(pool, queue->second, now);
    updateBacklog(pool, queue->second, now);
    for (const waiting_request& expired : queue->second.takeExpired(now)) {
        const auto relay = m_waiting[expired.ticket].lock();
        m_waiting.erase(expired.ticket);
        if (relay)
            relay->onNoFreeSlot();
    }
    while (queue->second.size() > 0 && m_runners.freeSlots(pool, now) > 0) {
        const auto next = queue->second.takeNext(now);
        const auto relay = m_waiting[next->ticket].lock();
        m_waiting.erase(next->ticket);
        if (relay)
            relay->onSlotAvailable();
    }
}

void entry_context::onNamedLimit(const runner_id& runner, std::optional<double> requestsPerSecond)
{
    if (m_runners.onNamedLimit(runner, requestsPerSecond, steadyNow()))
        m_log.write("runner_limit", { { "runner", runner.value() }, { "limited", requestsPerSecond.has_value() }, { "requests_per_second", requestsPerSecond.value_or(0) } });
}

void entry_context::onRunnerSignals(const runner_id& runner, runner_process_id process, const runner_response_head& head)
{
    for (const std::string& field : head.unreadableFields)
        m_log.write("response_field_unreadable", { { "runner", runner.value() }, { "field", field } });
    if (head.pauseTime) {
        m_log.write("runner_pause", { { "runner", runner.value() }, { "for_ms", wholeMilliseconds(*head.pauseTime) } });
        m_runners.onPauseRequested(process, *head.pauseTime, steadyNow());
    }
    if (head.coldTimeLeft) {
        const cold_runner cold { process, *head.coldTimeLeft };
        if (m_runners.onCold(cold, steadyNow()))
            logCold(cold);
    }
    if (!head.isLeaving || !m_runners.onLeaving(process))
        return;
    m_log.write("runner_leaving", { { "runner", runner.value() }, { "told_by", "answer" } });
    if (m_onLeaving)
        m_onLeaving();
}

void entry_context::onLeavingRunners(const std::vector<runner_process_id>& all)
{
    for (const runner_process_id process : all) {
        if (m_runners.onLeaving(process))
            m_log.write("runner_leaving", { { "process", static_cast<std::int64_t>(process.value()) }, { "told_by", "entry" } });
    }
}

void entry_context::logWarmUps()
{
    const time_point now = steadyNow();
    if (const std::size_t count = m_runners.warmingUpCount(now); count > 0)
        m_log.write("runners_warming_up", { { "runners", static_cast<std::int64_t>(count) }, { "entries", static_cast<std::int64_t>(m_warmUpEntries.addresses().size()) }, { "settled", m_warmUpEntries.isSettled(now) } });
}

void entry_context::onColdRunners(const std::vector<cold_runner>& all)
{
    for (const cold_runner& cold : all) {
        if (m_runners.onColdUpdate(cold, steadyNow()))
            logCold(cold);
    }
}

void entry_context::logCold(const cold_runner& cold)
{
    m_log.write("runner_cold", { { "process", static_cast<std::int64_t>(cold.process.value()) }, { "for_ms", wholeMilliseconds(cold.timeLeft) } });
}

void entry_context::onEvacuationSnapshot(const std::vector<zone_evacuations::change>& rows, store_revision asOf)
{
    if (m_evacuations.onSnapshot(rows, asOf, steadyNow()))
        applyEvacuations("store");
}

void entry_context::onEvacuationChanges(const std::vector<zone_evacuations::change>& changes, store_revision base, store_revision asOf)
{
    if (m_evacuations.onChanges(changes, base, asOf))
        applyEvacuations("store");
}

void entry_context::onPeerEvacuations(const zone_evacuation_view& view, const std::string& ip)
{
    if (m_evacuations.onView(view, steadyNow()))
        applyEvacuations(ip.c_str());
}

void entry_context::removeExpiredEvacuations()
{
    if (m_evacuations.removeExpired(steadyNow()))
        applyEvacuations("timeout");
}

void entry_context::applyEvacuations(const char* toldBy)
{
    const zone_evacuation_view view = m_evacuations.view(steadyNow());
    std::string names;
    const auto zones = m_evacuations.zones();
    for (const availability_zone_id& zone : std::set<availability_zone_id>(zones.begin(), zones.end()))
        names += (names.empty() ? "" : ",") + zone.value();
    m_log.write("evacuated_zones_changed", { { "zones", names }, { "epoch", static_cast<std::int64_t>(view.asOf.epoch.value()) }, { "revision", static_cast<std::int64_t>(view.asOf.revision.value()) }, { "told_by", toldBy } });
    m_metrics.count("evacuated_zones_changed");
    m_runners.setEvacuatedZones(m_evacuations.zones(), steadyNow());
    if (m_onEvacuation)
        m_onEvacuation();
    dispatchWaiting();
}

void entry_context::rejectWaitingIfEvacuated(const pool_id& pool, admission_queue& queue, time_point now)
{
    if (queue.size() == 0 || !m_runners.isPoolEvacuated(pool))
        return;
    std::vector<std::weak_ptr<request_relay>> rejected;
    while (const auto next = queue.takeNext(now)) {
        rejected.push_back(m_waiting[next->ticket]);
        m_waiting.erase(next->ticket);
    }
    // They choose again, find no runner, and are rejected for the same reason as new requests.
    for (const auto& request : rejected) {
        if (const auto relay = request.lock())
            relay->onSlotAvailable();
    }
}

void entry_context::onLimitUpdates(const std::vector<runner_limit_update>& all)
{
    for (const runner_limit_update& update : all) {
        if (m_runners.onLimitUpdate(update, steadyNow()))
            m_log.write("runner_limit_received", { { "process", static_cast<std::int64_t>(update.runner.value()) }, { "limited", update.requestsPerSecond.has_value() }, { "requests_per_second", update.requestsPerSecond.value_or(0) } });
    }
}

void entry_context::updateBacklog(const pool_id& pool, const admission_queue& queue, time_point now)
{
    const std::size_t late = queue.lateCount(now);
    // Load reports lead here hundreds of times a second, mostly without a late request.
    const bool isClearable = late > 0 && isBacklogClearable(late, queue.arrivalsPerSecond(now), m_runners.maxFreedSlotsPerSecond(pool) * m_demand.share());
    m_runners.setClearingBacklog(pool, isClearable);
}

void entry_context::dispatchWaiting()
{
    bool isAnyWaiting = false;
    for (auto& [pool, queue] : m_queues) {
        if (queue.size() > 0)
            dispatchWaiting(pool);
        isAnyWaiting = isAnyWaiting || queue.size() > 0;
    }
    if (isAnyWaiting)
        scheduleDispatch();
}

void entry_context::scheduleDispatch()
{
    if (m_isDispatchScheduled)
        return;
    m_isDispatchScheduled = true;
    m_dispatchTimer.expires_after(dispatchInterval);
    m_dispatchTimer.async_wait([this](const boost::system::error_code& error) {
        m_isDispatchScheduled = false;
        if (!error)
            dispatchWaiting();
    });
}

}
