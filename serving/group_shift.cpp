#include "serving/group_shift.h"

#include <algorithm>
#include <limits>

namespace sardinelb {

namespace {

// Older passes say nothing about the present ones.
constexpr duration passLifetime = std::chrono::milliseconds(500);

// A group is avoided when its passes exceed the objective and those of the fastest other group by this factor. The factors to return
// are lower, so that a group does not change sides with each pass.
constexpr double avoidFactor = 1.3;
constexpr double returnFactor = 1.1;
constexpr double returnObjectiveFraction = 0.85;

}

void group_shift::onPasses(const group_id& group, double passMs, double objectiveMs, time_point now)
{
    const double fastest = fastestOther(group, now);
    group_state& state = m_groups[group];
    const bool wasAvoided = isAvoided(group, now);
    state.passMs = passMs;
    state.at = now;
    if (wasAvoided)
        state.isAvoided = passMs > returnObjectiveFraction * objectiveMs && passMs > returnFactor * fastest;
    else
        state.isAvoided = passMs > objectiveMs && passMs > avoidFactor * fastest;
}

bool group_shift::isAvoided(const group_id& group, time_point now) const
{
    const auto known = m_groups.find(group);
    return known != m_groups.end() && known->second.isAvoided && now - known->second.at <= passLifetime;
}

double group_shift::fastestOther(const group_id& group, time_point now) const
{
    double fastest = std::numeric_limits<double>::infinity();
    for (const auto& [other, state] : m_groups) {
        if (other != group && now - state.at <= passLifetime)
            fastest = std::min(fastest, state.passMs);
    }
    return fastest;
}

}
