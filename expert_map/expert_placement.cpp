#include "expert_map/expert_placement.h"

namespace sardinelb {

std::vector<std::vector<expert_number>> expertsOf(const expert_placement& placement, rank_id rank)
{
    std::vector<std::vector<expert_number>> experts;
    for (const auto& byRank : placement.sets) {
        if (rank.value() >= byRank.size())
            return {};
        experts.push_back(byRank[rank.value()]);
    }
    return experts;
}

}
