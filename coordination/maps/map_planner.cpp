#include "coordination/maps/map_planner.h"

#include "coordination/maps/initial_map.h"
#include "coordination/maps/map_balance.h"
#include "coordination/maps/placement_search.h"
#include "coordination/maps/replica_placement.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <string>
#include <utility>
#include <vector>

namespace sardinelb {

namespace {

// Maximum number of replicas moved to improve a first map; each move costs planning time.
constexpr std::uint32_t maxInitialMoves = 16;

// Popularity of an expert without traffic, as a fraction of the average. It must be above 0, because shares are divided
// by it.
constexpr double minRelativePopularity = 1e-6;

coordination_error invalid(std::string subject, std::string detail)
{
    return { coordination_errc::Invalid, std::move(subject), std::move(detail) };
}

bool matches(const expert_map& map, const map_plan_request& request)
{
    const auto isInRange
        = [&](const expert_map::replica& replica) { return replica.rank.value() < request.speeds.size(); };
    return map.experts.size() == request.popularity.size() && std::ranges::all_of(map.experts, [&](const auto& expert) {
        return !expert.empty() && std::ranges::all_of(expert, isInRange);
    });
}

coordination_result<void> validate(const map_plan_request& request, const map_planner_settings& settings)
{
    const auto isBadSpeed = [](double speed) { return !(speed > 0) || !std::isfinite(speed); };
    const auto isBadPopularity = [](double part) { return !(part >= 0) || !std::isfinite(part); };
    if (request.popularity.empty() || request.speeds.empty())
        return invalid("group", "a map needs at least one expert and one rank");
    if (request.speeds.size() * settings.slotsPerRank < request.popularity.size())
        return invalid("slots per rank", std::to_string(settings.slotsPerRank) + " slots on each of " + std::to_string(request.speeds.size()) + " ranks cannot hold " + std::to_string(request.popularity.size()) + " experts");
    if (std::ranges::any_of(request.speeds, isBadSpeed))
        return invalid("speeds", "every speed must be finite and above 0");
    if (std::ranges::any_of(request.popularity, isBadPopularity))
        return invalid("popularity", "every value must be finite and at least 0");
    if (!request.longTermPopularity.empty() && request.longTermPopularity.size() != request.popularity.size())
        return invalid("long-term popularity", "its number of experts differs from that of the popularity");
    if (request.current && !matches(*request.current, request))
        return invalid("current map", "its experts or ranks do not match the request");
    return boost::outcome_v2::success();
}

std::vector<double> withMinimumPopularity(const std::vector<double>& popularity)
{
    const double sum = std::accumulate(popularity.begin(), popularity.end(), 0.0);
    const double average = sum > 0 ? sum / static_cast<double>(popularity.size()) : 1;
    std::vector<double> positive = popularity;
    for (double& part : positive)
        part = std::max(part, average * minRelativePopularity);
    return positive;
}

std::uint32_t movesBetween(const expert_map& from, const expert_map& to)
{
    std::uint32_t moves = 0;
    for (std::size_t expert = 0; expert < to.experts.size(); ++expert)
        for (const auto& replica : to.experts[expert])
            if (std::ranges::find(from.experts[expert], replica.rank, &expert_map::replica::rank)
                == from.experts[expert].end())
                ++moves;
    return moves;
}

}

map_planner::map_planner(map_planner_settings settings)
    : m_settings(settings)
{
}

coordination_result<std::optional<map_plan>> map_planner::plan(const map_plan_request& request) const
{
    const auto checked = validate(request, m_settings);
    if (!checked.has_value())
        return checked.error();
    const std::vector<double> popularity = withMinimumPopularity(request.popularity);
    replica_placement placement(popularity, request.speeds, m_settings.slotsPerRank);
    map_plan plan;
    if (!request.current) {
        placement.assign(initialMap(popularity, request.speeds, m_settings.slotsPerRank));
        map_planner_settings unbounded = m_settings;
        unbounded.stagingSlotsPerRank = m_settings.slotsPerRank;
        placement_search search(std::move(placement), unbounded, maxInitialMoves);
        search.run();
        plan.map = search.placement().toMap();
        plan.moves = movesBetween(expert_map { {}, std::vector<std::vector<expert_map::replica>>(popularity.size()) }, plan.map);
        plan.balanceAfter = mapBalance(plan.map, popularity, request.speeds);
        return std::optional(std::move(plan));
    }
    plan.balanceBefore = mapBalance(*request.current, popularity, request.speeds);
    if (!isOutOfDate(request))
        return std::optional<map_plan>();
    placement.assign(*request.current);
    placement_search search(std::move(placement), m_settings, request.moveBudget);
    search.run();
    plan.map = search.placement().toMap();
    plan.moves = movesBetween(*request.current, plan.map);
    plan.balanceAfter = mapBalance(plan.map, popularity, request.speeds);
    if (plan.balanceBefore - plan.balanceAfter < m_settings.minimumGain)
        return std::optional<map_plan>();
    return std::optional(std::move(plan));
}

// Imbalance that also shows under the long-term popularity comes from drift rather than noise, so a lower threshold
// applies.
bool map_planner::isOutOfDate(const map_plan_request& request) const
{
    const auto isUnbalanced = [&](const std::vector<double>& popularity, double noiseFactor) {
        return mapBalanceBeyondNoise(
                   *request.current, popularity, request.speeds, noiseFactor * request.popularityNoise)
            > m_settings.replanThreshold;
    };
    const bool hasDrifted = !request.longTermPopularity.empty()
        && isUnbalanced(request.longTermPopularity, m_settings.longTermNoiseFactor);
    return isUnbalanced(request.popularity, hasDrifted ? m_settings.driftNoiseFactor : m_settings.noiseFactor);
}

}
