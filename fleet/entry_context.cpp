#include "fleet/entry_context.h"

#include "fleet/event_log.h"
#include "fleet/request_relay.h"
#include "fleet/steady_time.h"
#include "serving/retry_delay.h"
#include "serving/route_index.h"
#include "serving/serving_configuration.h"

namespace sardinelb {

namespace {

// Waiting requests are looked at this often even if nothing is heard of their runners.
constexpr std::chrono::milliseconds fillInterval { 20 };

}

entry_context::entry_context(boost::asio::any_io_executor executor, const platform::settings& settings, event_log& log, process_metrics& metrics)
    : m_executor(std::move(executor))
    , m_settings(settings)
    , m_log(log)
    , m_metrics(metrics)
    , m_random(std::random_device {}())
    , m_runners([this] { return std::uniform_real_distribution<double>()(m_random); })
    , m_startedAt(steadyNow())
    , m_fillTimer(m_executor)
{
}

entry_context::~entry_context() = default;

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
        m_runners.setEngine(pool, profile.engine);
    m_log.write("configuration", { { "version", static_cast<std::int64_t>(configurationVersion().value()) }, { "routes", static_cast<std::int64_t>(m_routes->configuration().routes.size()) } });
    fillRoom();
}

void entry_context::setRunners(const std::vector<listed_runner>& runners)
{
    m_runners.setRunners(runners, steadyNow());
    fillRoom();
}

void entry_context::setEntriesAlive(std::size_t count)
{
    m_entriesAlive = count;
    m_runners.setEntryCount(count);
}

retry_budget_share& entry_context::retriesOf(const pool_id& pool)
{
    return m_retries.try_emplace(pool, m_settings.retries, m_startedAt).first->second;
}

duration entry_context::longestPatience(const std::string& route, duration patience)
{
    duration& longest = m_longestPatience[route];
    longest = std::max(longest, patience);
    return longest;
}

const pool_id* entry_context::pickPool(const traffic_route& route)
{
    std::uint64_t total = 0;
    for (const auto& part : route.pools)
        total += part.weight;
    if (total == 0)
        return nullptr;
    std::uint64_t point = std::uniform_int_distribution<std::uint64_t>(0, total - 1)(m_random);
    for (const auto& part : route.pools) {
        if (point < part.weight)
            return &part.pool;
        point -= part.weight;
    }
    return nullptr;
}

double entry_context::freedSlotsPerSecond(const pool_id& pool) const
{
    return m_runners.freedSlotsPerSecond(pool) / static_cast<double>(m_entriesAlive);
}

duration entry_context::retryDelayWithoutConfiguration()
{
    const double random = std::uniform_real_distribution<double>()(m_random);
    return sardinelb::retryDelayWithoutConfiguration(steadyNow() - m_startedAt, random);
}

void entry_context::wait(const pool_id& pool, const waiting_request& request, std::weak_ptr<request_relay> relay)
{
    lineOf(pool).add(request);
    m_waiting[request.ticket] = std::move(relay);
    scheduleFill();
}

void entry_context::stopWaiting(const pool_id& pool, std::uint64_t ticket)
{
    if (m_waiting.erase(ticket) > 0)
        lineOf(pool).remove(ticket);
}

void entry_context::fillRoom(const pool_id& pool)
{
    const auto line = m_lines.find(pool);
    if (line == m_lines.end())
        return;
    const time_point now = steadyNow();
    for (const waiting_request& hopeless : line->second.takeExpired(now)) {
        const auto relay = m_waiting[hopeless.ticket].lock();
        m_waiting.erase(hopeless.ticket);
        if (relay)
            relay->waitEnded();
    }
    while (line->second.size() > 0 && m_runners.freeSlots(pool, now) > 0) {
        const auto next = line->second.takeNext(now);
        const auto relay = m_waiting[next->ticket].lock();
        m_waiting.erase(next->ticket);
        if (relay)
            relay->placeFound();
    }
}

void entry_context::fillRoom()
{
    bool isAnyWaiting = false;
    for (auto& [pool, line] : m_lines) {
        if (line.size() > 0)
            fillRoom(pool);
        isAnyWaiting = isAnyWaiting || line.size() > 0;
    }
    if (isAnyWaiting)
        scheduleFill();
}

void entry_context::scheduleFill()
{
    if (m_isFillScheduled)
        return;
    m_isFillScheduled = true;
    m_fillTimer.expires_after(fillInterval);
    m_fillTimer.async_wait([this](const boost::system::error_code& error) {
        m_isFillScheduled = false;
        if (!error)
            fillRoom();
    });
}

}
