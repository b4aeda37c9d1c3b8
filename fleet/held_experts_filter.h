#pragma once

#include "platform/rank_client.h"
#include "state/time.h"

#include <cstdint>
#include <optional>

namespace sardinelb {

// Decides which list of its experts an agent believes its runner. A list counts once two in a row are the same, since the
// coordinator plans from it until the next switch. It is read again now and then, so that a wrong one does not stay. Pure state
// machine.
class held_experts_filter {
public:
    // Whether to read the list now, for a rank that uses `map`.
    bool isReadDue(std::uint64_t epoch, map_version map, time_point now) const;

    // Handles a list that was read. Returns whether the believed list has changed.
    bool onList(platform::held_experts, time_point now);

    // The list for the map, or nullptr if none is believed.
    const std::vector<std::vector<expert_number>>* experts(std::uint64_t epoch, map_version map) const;

    // Whether the last two lists of one map differ, so that one of them is wrong.
    bool isContradicted() const { return m_isContradicted; }

private:
    std::optional<platform::held_experts> m_believed;
    std::optional<platform::held_experts> m_unconfirmed;
    time_point m_readAt;
    bool m_isContradicted = false;
};

}
