#include "fleet/demand_reporting.h"

#include <algorithm>

namespace sardinelb {

namespace {

// Coordinators send routes once a second; without one the coordinator gets a report directly now and then.
constexpr duration routeLifetime = std::chrono::milliseconds(3500);
constexpr duration intervalWithoutRoute = std::chrono::seconds(1);

// Sums of the sets may differ by this factor and this number, since a reading may fall into a pass.
constexpr std::uint64_t maxSetRatio = 4;
constexpr std::uint64_t maxSetDifference = 1000;

bool areSetsAlike(const std::vector<std::uint32_t>& before, const std::vector<std::uint32_t>& after, std::size_t sets)
{
    const std::size_t experts = sets == 0 ? 0 : after.size() / sets;
    if (experts == 0 || after.size() % sets != 0)
        return true;
    std::vector<std::uint64_t> sums(sets);
    for (std::size_t i = 0; i < after.size(); ++i)
        sums[i / experts] += after[i] - before[i];
    const auto [lowest, highest] = std::minmax_element(sums.begin(), sums.end());
    return *highest <= maxSetRatio * *lowest + maxSetDifference;
}

// Whether the rank can have counted so between the two readings.
bool canFollow(const std::vector<std::uint32_t>& before, const std::vector<std::uint32_t>& after, std::size_t sets)
{
    if (before.empty())
        return true;
    const bool hasGrown = before.size() == after.size() && std::equal(before.begin(), before.end(), after.begin(), [](std::uint32_t a, std::uint32_t b) { return a <= b; });
    return hasGrown && areSetsAlike(before, after, sets);
}

}

void demand_reporting::setGroup(const group_id& group, std::uint64_t epoch)
{
    if (group == m_group && epoch == m_epoch)
        return;
    m_group = group;
    m_epoch = epoch;
    m_previousCounters.clear();
    m_isLastReadingDoubtful = false;
    m_pending.clear();
    m_route.reset();
}

void demand_reporting::setRoute(const demand_route_message& route, time_point now)
{
    if (route.group != m_group || route.epoch != m_epoch)
        return;
    if (!m_route)
        m_nextReportAt = now;
    m_route = route;
    m_routeReceivedAt = now;
}

bool demand_reporting::onCounters(const std::vector<std::uint32_t>& counters, std::uint64_t epoch, std::size_t sets)
{
    if (epoch != m_epoch)
        return true;
    const bool isFitting = canFollow(m_previousCounters, counters, sets);
    const bool isSkipped = !isFitting && !m_isLastReadingDoubtful;
    m_isLastReadingDoubtful = isSkipped;
    if (isSkipped)
        return false;
    m_pending.addCounters(m_previousCounters, counters);
    m_previousCounters = counters;
    return isFitting;
}

void demand_reporting::onReport(const demand_report_message& report)
{
    if (report.group == m_group && report.epoch == m_epoch)
        m_pending.add(report.choices);
}

std::optional<demand_reporting::outgoing> demand_reporting::takeReport(time_point now)
{
    const bool hasRoute = m_route && now - m_routeReceivedAt <= routeLifetime;
    m_nextReportAt = now + (hasRoute ? m_route->interval : intervalWithoutRoute);
    outgoing result { hasRoute ? m_route->collector : std::string(), { m_group, m_epoch, m_pending.take() } };
    if (result.report.choices.values.empty())
        return std::nullopt;
    return result;
}

}
