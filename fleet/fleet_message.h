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

// Heartbeat of an entry to the other entries and the agents.
struct entry_heartbeat_message {
    // A runner of the receiver's group whose agent has been heard of recently.
    struct member {
        rank_id rank;
        // IP address and port of the runner.
        std::string address;
    };

    daemon_id daemon;
    config_version configuration;
    row_revision runnerList;
    // Equal lists of runners have equal digests.
    std::uint64_t runnerDigest = 0;
    // Time since the store last confirmed the list, directly or through other entries.
    duration runnerListAge {};
    bool isStopping = false;
    // This and the fields below are set for agents whose group the entry knows.
    group_id group;
    std::vector<member> members;
    // Limits of the group's expert maps; 0 while unknown.
    std::uint32_t expertsPerRank = 0;
    std::uint32_t newExpertsPerRank = 0;
    duration expertCopyTime {};
    std::uint32_t slots = 0;
};

// Load report of an agent to the entries, about the runner on the sender's machine.
struct load_message {
    rank_load load;
    // IP addresses of the entries known to the agent, by which entries discover each other.
    std::vector<std::string> entryAddresses;
};

// Report of an agent to the coordinator of its group.
struct rank_message {
    group_id group;
    std::uint32_t groupSize = 0;
    rank_status status;
    // Requests running on the rank.
    std::uint32_t running = 0;
    // Times each expert was chosen since the previous message, set by set. Empty if there is nothing new.
    std::vector<std::uint16_t> choices;
};

using fleet_message = std::variant<entry_heartbeat_message, load_message, rank_message>;

std::string encode(const fleet_message&);

// Returns nothing if the bytes are not a valid message.
std::optional<fleet_message> decode(std::string_view bytes);

}
