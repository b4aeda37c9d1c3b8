#pragma once

#include "expert_map/rank_status.h"
#include "serving/rank_load.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sardinelb {

// What an entry tells the other entries and the agents.
struct entry_beat_message {
    // A runner of the receiver's group beside which an agent was heard of lately.
    struct member {
        rank_id rank;
        // IP number and port of the runner.
        std::string address;
    };

    daemon_id daemon;
    config_version configuration;
    row_revision runnerList;
    // Digest of the list of runners. Equal lists have equal digests.
    std::uint64_t runnerDigest = 0;
    // For how long the store has not confirmed the list, directly or through other entries.
    duration listAge {};
    bool isStopping = false;
    // Set for agents whose group the entry knows.
    group_id group;
    std::vector<member> members;
    // Limits of the group's expert maps; 0 while they are not known.
    std::uint32_t placesPerRank = 0;
    std::uint32_t newPerRank = 0;
    duration expertCopyTime {};
    std::uint32_t slots = 0;
};

// What an agent tells the entries. The runner is the one at the sender's machine.
struct load_message {
    rank_load load;
    // IP numbers of the entries that the agent hears of, by which entries find each other.
    std::vector<std::string> entries;
};

// What an agent tells the coordinator of its group.
struct rank_message {
    group_id group;
    std::uint32_t groupSize = 0;
    rank_status status;
    // Requests that run on the rank.
    std::uint32_t running = 0;
    // Choices of experts since the message before, set by set. Empty when there is nothing new.
    std::vector<std::uint16_t> choices;
};

using fleet_message = std::variant<entry_beat_message, load_message, rank_message>;

std::string encode(const fleet_message&);

// Returns nothing for bytes that are no message.
std::optional<fleet_message> decode(std::string_view bytes);

}
