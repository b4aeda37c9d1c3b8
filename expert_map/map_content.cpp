#include "expert_map/map_content.h"

#include <algorithm>
#include <cstddef>
#include <set>

namespace sardinelb {

namespace {

constexpr std::uint32_t digestBits = 24;
constexpr std::uint64_t digestMask = (1ULL << digestBits) - 1;

// The finalizer of SplitMix64: each bit of the input changes about half of the bits of the result.
std::uint64_t mixBits(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

// A sum, so that it does not depend on the sequence in which a rank lists its experts.
std::uint64_t digestOf(const expert_placement& placement)
{
    constexpr std::uint32_t setShift = 40;
    constexpr std::uint32_t rankShift = 16;
    std::uint64_t sum = placement.sets.size();
    for (std::size_t set = 0; set < placement.sets.size(); ++set) {
        for (std::size_t rank = 0; rank < placement.sets[set].size(); ++rank) {
            for (const expert_number expert : placement.sets[set][rank])
                sum += mixBits((static_cast<std::uint64_t>(set) << setShift) | (static_cast<std::uint64_t>(rank) << rankShift) | expert);
        }
    }
    return mixBits(sum) & digestMask;
}

// The number of different experts in the set. 0 if there is a gap in their numbers or a rank lists one twice.
std::size_t countExperts(const std::vector<std::vector<expert_number>>& byRank)
{
    std::set<expert_number> all;
    for (const auto& experts : byRank) {
        const std::set<expert_number> own(experts.begin(), experts.end());
        if (own.size() != experts.size())
            return 0;
        all.insert(own.begin(), own.end());
    }
    const bool hasGap = all.empty() || *all.rbegin() + std::size_t { 1 } != all.size();
    return hasGap ? 0 : all.size();
}

}

map_version mapVersion(std::uint64_t sequence, const expert_placement& placement)
{
    return map_version((sequence << digestBits) | digestOf(placement));
}

std::uint64_t sequenceOf(map_version version)
{
    return version.value() >> digestBits;
}

bool isContentOf(map_version version, const expert_placement& placement)
{
    return sequenceOf(version) == 0 || (version.value() & digestMask) == digestOf(placement);
}

bool isWholePlacement(const expert_placement& placement)
{
    if (placement.sets.empty())
        return false;
    const std::size_t experts = countExperts(placement.sets.front());
    return experts > 0 && std::all_of(placement.sets.begin(), placement.sets.end(), [&](const auto& byRank) { return countExperts(byRank) == experts; });
}

bool isWithoutCopies(const expert_placement& placement)
{
    return std::all_of(placement.sets.begin(), placement.sets.end(), [](const auto& byRank) {
        std::size_t places = 0;
        for (const auto& experts : byRank)
            places += experts.size();
        return places == countExperts(byRank);
    });
}

}
