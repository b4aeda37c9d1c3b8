#include "coordination/maps/rank_speed_tracker.h"

#include <algorithm>
#include <cmath>

namespace sardinelb {

namespace {

// Steps of a rank that count, 2.8 s at 59 ms per step. A change shows when half of them are after it.
constexpr std::size_t windowSteps = 48;

// The median of 48 steps with 10% noise is off by 1.8% (one sigma), so by 7% for the worst of 256 ranks in 100 windows.
// A speed that differs by less than this from the one reported is not told apart from noise.
constexpr double deadBand = 0.1;

// The same for a rank that has been told apart already. A slow rank gets less load, so work that does not depend on the
// load weighs more and makes it look slower still; following that in small steps equalizes the times of the ranks.
constexpr double narrowDeadBand = 0.03;

// A rank below this speed is a straggler.
constexpr double stragglerSpeed = 0.85;

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
        if (m_ranks[rank].reported < stragglerSpeed)
            slow.emplace_back(rank);
    return slow;
}

}
