#pragma once

#include "state/ids.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace sardinelb {

// One of the equal shards into which the limits of a team are split. Most teams have a single shard, with index 0.
struct limit_shard {
    team_id team;
    std::uint32_t index = 0;

    friend auto operator<=>(const limit_shard&, const limit_shard&) = default;
    friend bool operator==(const limit_shard&, const limit_shard&) = default;
};

}

template <>
struct std::hash<sardinelb::limit_shard> {
    std::size_t operator()(const sardinelb::limit_shard& shard) const
    {
        constexpr std::size_t mixer = 0x9e3779b97f4a7c15ULL;
        return std::hash<sardinelb::team_id>()(shard.team) ^ (mixer * shard.index);
    }
};
