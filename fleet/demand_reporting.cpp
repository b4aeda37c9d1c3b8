#include "fleet/demand_reporting.h"

namespace sardinelb {

namespace {

// Coordinators send routes once a second; without one the coordinator gets a report directly now and then.
constexpr duration routeLifetime = std::chrono::milliseconds(3500);
constexpr duration intervalWithoutRoute = std::chrono::seconds(1);

}

void demand_reporting::setGroup(const group_id& group, std::uint64_t epoch)
{
    if (group == m_group && epoch == m_epoch)
        return;
    m_group = group;
    m_epoch = epoch;
    m_previousCounters.clear();
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

void demand_reporting::onCounters(const std::vector<std::uint32_t>& counters, std::uint64_t epoch)
{
    if (epoch != m_epoch)
        return;
    m_pending.addCounters(m_previousCounters, counters);
    m_previousCounters = counters;
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
