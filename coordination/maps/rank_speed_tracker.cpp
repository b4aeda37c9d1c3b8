#include "coordination/maps/rank_speed_tracker.h"

#include <algorithm>
#include <cmath>

namespace sardinelb {

namespace {

// Number of last steps of a rank in the median, 2.8 s at 59 ms per step. A change shows when half of them are after it.
constexpr std::size_t windowSteps = 48;

// A speed that differs by at most this from the last one reported is treated as noise. The median of 48 steps with 10%
// noise has a standard error of 1.8%, so it is off by 7% for the worst of 256 ranks in 100 windows.
constexpr double deadBand = 0.1;

// The same for a rank whose reported speed differs from 1. A slow rank is given less load, so the work that does not
// depend on load weighs more and it appears even slower; following that in small steps equalizes the times of the
// ranks.
constexpr double narrowDeadBand = 0.03;

constexpr double maxStragglerSpeed = 0.85;

double median(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

double nextReported(double measured, double reported)
{
    if (std::abs(measured - 1) <= deadBand / 2)
        return 1;
    const double band = reported == 1 ? deadBand : narrowDeadBand;
    return std::abs(measured - reported) <= band ? reported : measured;
}

}

rank_speed_tracker::rank_speed_tracker(std::uint32_t rankCount)
    : m_ranks(rankCount)
{
}

void rank_speed_tracker::record(rank_id rank, duration busy, double load)
{
    if (rank.value() >= m_ranks.size() || busy <= duration::zero() || load <= 0)
        return;
    rank_state& state = m_ranks[rank.value()];
    const double rate = load / static_cast<double>(busy.count());
    if (state.rates.size() < windowSteps)
        state.rates.push_back(rate);
    else
        state.rates[state.next] = rate;
    state.next = (state.next + 1) % windowSteps;
}

void rank_speed_tracker::forget(rank_id rank)
{
    if (rank.value() < m_ranks.size())
        m_ranks[rank.value()] = {};
}

std::vector<double> rank_speed_tracker::speeds()
{
    std::vector<double> rates;
    for (const rank_state& state : m_ranks)
        if (state.rates.size() >= windowSteps)
            rates.push_back(median(state.rates));
    const double typical = rates.empty() ? 1 : median(rates);
    std::vector<double> speeds;
    for (rank_state& state : m_ranks) {
        if (state.rates.size() >= windowSteps)
            state.reported = nextReported(median(state.rates) / typical, state.reported);
        speeds.push_back(state.reported);
    }
    return speeds;
}

std::vector<rank_id> rank_speed_tracker::stragglers() const
{
    std::vector<rank_id> slow;
    for (std::uint32_t rank = 0; rank < m_ranks.size(); ++rank)
        if (m_ranks[rank].reported < maxStragglerSpeed)
            slow.emplace_back(rank);
    return slow;
}

}
