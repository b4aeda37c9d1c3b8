#pragma once

#include "state/contract.h"
#include "state/ids.h"

#include <map>
#include <string>
#include <vector>

namespace sardinelb {

// A customer, with its aliases by naming scheme and the SHA-256 digests (lower-case hex) of its bearer keys.
struct team {
    team_id id;
    std::map<std::string, std::string> aliases;
    std::vector<std::string> keyDigests;
    contract terms;
    // Version of the change that last updated this entity.
    config_version changedAt;
};

}
