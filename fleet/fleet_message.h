#pragma once

#include "expert_map/rank_status.h"
#include "fleet/delegated_order_message.h"
#include "fleet/delegated_result_message.h"
#include "fleet/demand_report_message.h"
#include "fleet/demand_route_message.h"
#include "serving/cold_runner.h"
#include "serving/prompt_part_evidence.h"
#include "serving/rank_load.h"
#include "serving/runner_limit_update.h"
#include "serving/zone_evacuation_view.h"
#include "state/ids.h"
#include "state/store_revision.h"
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
    // A runner whose agent was heard of `age` ago.
    struct member {
        rank_id rank;
        // IP address and port of the runner.
        std::string address;
        duration age {};
    };

    // The lowest ranks of a group, whose agents coordinate its expert map.
    struct group_candidates {
        group_id group;
        std::vector<member> members;
    };

    daemon_id daemon;
    config_version configuration;
    store_revision runnerList;
    // Equal lists of runners have equal digests.
    std::uint64_t runnerDigest = 0;
    // Time since the store last confirmed the list, directly or through other entries.
    duration runnerListAge {};
    bool isStopping = false;
    // Groups that the sender knows. Empty for agents.
    std::vector<group_candidates> groups;
    // Requests for model runners that the sender got lately. Not set for agents.
    float arrivalsPerSecond = 0;
    // Prompt parts that may crash runners, as far as the sender knows. Empty for agents.
    std::vector<prompt_part_evidence> promptParts;
    // Limits that runners have named in answers to the sender. Empty for agents.
    std::vector<runner_limit_update> runnerLimits;
    // Runners' processes that have said in an answer that they leave. Empty for agents.
    std::vector<runner_process_id> leavingRunners;
    // Availability zones that are evacuated, as far as the sender knows. Empty for agents.
    zone_evacuation_view evacuations;
    // Runners' processes that say that they are cold. Empty for agents.
    std::vector<cold_runner> coldRunners;
    // This and the fields below are set for agents whose group the entry knows. The members are the lowest ranks.
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
    // IP address and port of the rank's runner.
    std::string address;
    availability_zone_id zone;
};

using fleet_message = std::variant<entry_heartbeat_message, load_message, rank_message, demand_report_message, demand_route_message, delegated_order_message, delegated_result_message>;

std::string encode(const fleet_message&);

// Returns nothing if the bytes are not a valid message.
std::optional<fleet_message> decode(std::string_view bytes);

}
