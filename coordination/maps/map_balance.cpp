#include "coordination/maps/map_balance.h"

#include "coordination/maps/expert_map.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace sardinelb {

namespace {

// Time that every rank would need if the load were divided in proportion to speed.
double idealTime(const std::vector<double>& popularity, const std::vector<double>& speeds)
{
    const double load = std::accumulate(popularity.begin(), popularity.end(), 0.0);
    return load / std::accumulate(speeds.begin(), speeds.end(), 0.0);
}

}

std::vector<double> rankTimes(
    const expert_map& map, const std::vector<double>& popularity, const std::vector<double>& speeds)
{
    const double ideal = idealTime(popularity, speeds);
    std::vector<double> times(speeds.size());
    for (std::size_t expert = 0; expert < map.experts.size(); ++expert)
        for (const auto& replica : map.experts[expert])
            times[replica.rank.value()] += popularity[expert] * replica.share;
    for (std::size_t rank = 0; rank < times.size(); ++rank)
        times[rank] /= speeds[rank] * ideal;
    return times;
}

double mapBalance(const expert_map& map, const std::vector<double>& popularity, const std::vector<double>& speeds)
{
    return std::ranges::max(rankTimes(map, popularity, speeds));
}

double mapBalanceBeyondNoise(
    const expert_map& map, const std::vector<double>& popularity, const std::vector<double>& speeds, double noise)
{
    if (std::isinf(noise))
        return 0;
    const double ideal = idealTime(popularity, speeds);
    std::vector<double> squares(speeds.size());
    for (std::size_t expert = 0; expert < map.experts.size(); ++expert)
        for (const auto& replica : map.experts[expert]) {
            const std::size_t rank = replica.rank.value();
            squares[rank] += std::pow(popularity[expert] * replica.share / (speeds[rank] * ideal), 2);
        }
    std::vector<double> times = rankTimes(map, popularity, speeds);
    for (std::size_t rank = 0; rank < times.size(); ++rank)
        times[rank] -= noise * std::sqrt(squares[rank]);
    return std::ranges::max(times);
}

}
