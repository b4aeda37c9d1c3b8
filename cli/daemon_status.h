#pragma once

#include "state/document_fault.h"
#include "state/ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sardinelb {

// Status that a daemon reports.
struct daemon_status {
    // A runner from the daemon's point of view.
    struct runner_state {
        runner_id id;
        std::int64_t queued = 0;
        std::int64_t running = 0;
        bool accepting = false;
    };

    daemon_id daemon;
    std::string role;
    incarnation daemonIncarnation;
    config_version version;
    bool ready = false;
    std::int64_t inFlight = 0;
    std::vector<runner_state> runners;
};

// Parses a status. Unknown fields are ignored, because the daemon may be newer than this program.
document_result<daemon_status> parseDaemonStatus(std::string_view text, const std::string& sender);

}
