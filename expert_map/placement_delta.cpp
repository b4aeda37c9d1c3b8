#include "expert_map/placement_delta.h"

namespace sardinelb {

placement_delta differenceOf(const expert_placement& from, const expert_placement& to)
{
    placement_delta delta;
    for (std::size_t set = 0; set < to.sets.size(); ++set) {
        for (std::size_t rank = 0; rank < to.sets[set].size(); ++rank) {
            const auto& experts = to.sets[set][rank];
            if (experts != from.sets[set][rank])
                delta.changes.push_back({ static_cast<std::uint16_t>(set), static_cast<std::uint16_t>(rank), experts });
        }
    }
    return delta;
}

std::optional<expert_placement> applyDelta(expert_placement placement, const placement_delta& delta)
{
    for (const auto& change : delta.changes) {
        if (change.set >= placement.sets.size() || change.rank >= placement.sets[change.set].size())
            return std::nullopt;
        placement.sets[change.set][change.rank] = change.experts;
    }
    return placement;
}

expert_placement roundRobinPlacement(std::size_t sets, std::size_t experts, std::size_t ranks)
{
    expert_placement placement;
    if (ranks == 0)
        return placement;
    placement.sets.assign(sets, std::vector<std::vector<expert_number>>(ranks));
    for (auto& byRank : placement.sets) {
        for (std::size_t expert = 0; expert < experts; ++expert)
            byRank[expert % ranks].push_back(static_cast<expert_number>(expert));
    }
    return placement;
}

}
