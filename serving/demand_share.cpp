#include "serving/demand_share.h"

namespace sardinelb {

namespace {

// Weight of the last interval. Intervals are half a second, and callers move within a second or two.
constexpr double smoothingFactor = 0.5;

// Part of the shares that is divided evenly, so that an entry whose callers return has a place for the first of them.
constexpr double evenPart = 0.1;

}

double demand_share::update(time_point now)
{
    const double seconds = std::chrono::duration<double>(now - m_updatedAt).count();
    m_updatedAt = now;
    if (seconds > 0)
        m_arrivalsPerSecond += smoothingFactor * (m_arrivals / seconds - m_arrivalsPerSecond);
    m_arrivals = 0;
    return m_arrivalsPerSecond;
}

double demand_share::totalArrivalsPerSecond() const
{
    double total = m_arrivalsPerSecond;
    for (const auto& [entry, arrivals] : m_peers)
        total += arrivals;
    return total;
}

double demand_share::shareOf(double arrivalsPerSecond, double total) const
{
    const double even = 1 / static_cast<double>(m_peers.size() + 1);
    return total <= 0 ? even : evenPart * even + (1 - evenPart) * arrivalsPerSecond / total;
}

double demand_share::share() const
{
    return shareOf(m_arrivalsPerSecond, totalArrivalsPerSecond());
}

std::unordered_map<std::string, double> demand_share::shares(const std::string& self) const
{
    const double total = totalArrivalsPerSecond();
    std::unordered_map<std::string, double> byEntry { { self, shareOf(m_arrivalsPerSecond, total) } };
    for (const auto& [entry, arrivals] : m_peers)
        byEntry.emplace(entry, shareOf(arrivals, total));
    return byEntry;
}

}
