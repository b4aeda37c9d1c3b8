#pragma once

#include "state/strong_value.h"

#include <cstdint>
#include <string>

namespace sardinelb {

// Names of configured entities. Each is the canonical name; aliases of the three naming schemes are resolved
// to it once, where a request or a command enters the system.
using team_id = strong_value<struct team_tag, std::string>;
using pool_id = strong_value<struct pool_tag, std::string>;
using runner_id = strong_value<struct runner_tag, std::string>;
using instance_id = strong_value<struct instance_tag, std::string>;
using availability_zone_id = strong_value<struct availability_zone_tag, std::string>;
using region_id = strong_value<struct region_tag, std::string>;
using model_id = strong_value<struct model_tag, std::string>;
using group_id = strong_value<struct group_tag, std::string>;
using daemon_id = strong_value<struct daemon_tag, std::string>;

// Identifies one request of a caller. It holds the name and incarnation of the entry that accepted the request and
// a counter, so that it is unique without coordination.
using request_id = strong_value<struct request_tag, std::string>;

// Part of a prompt, by the hash of its content as callers state it. Requests with the same part share it.
using prompt_part_id = strong_value<struct prompt_part_tag, std::uint64_t>;

// Identifies one process of a runner: a runner that starts again under its id has another one.
using runner_process_id = strong_value<struct runner_process_tag, std::uint64_t>;

// Index of a rank in its group and of an expert in its layer.
using rank_id = strong_value<struct rank_tag, std::uint32_t>;
using expert_id = strong_value<struct expert_tag, std::uint32_t>;

// Position in the configuration change log. 0 means that no configuration is known.
using config_version = strong_value<struct config_version_tag, std::uint64_t>;

// Distinguishes the lifetimes of one daemon: a restarted daemon has a higher value.
using incarnation = strong_value<struct incarnation_tag, std::uint64_t>;

// Increases with every new holder of a lease.
using fencing_number = strong_value<struct fencing_number_tag, std::uint64_t>;

// Version of the expert map of one group, and number of one step that its ranks take in lockstep.
using map_version = strong_value<struct map_version_tag, std::uint64_t>;
using step_number = strong_value<struct step_number_tag, std::uint64_t>;

// Revision of a row in the platform's table service. 0 means that the row does not exist.
using row_revision = strong_value<struct row_revision_tag, std::uint64_t>;

// Counts the restores of the platform's store from a copy. Each restore loses the newest rows, and revisions are given out again.
using store_epoch = strong_value<struct store_epoch_tag, std::uint64_t>;

}
