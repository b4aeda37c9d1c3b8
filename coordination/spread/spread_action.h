#pragma once

#include "coordination/messages/changes_message.h"
#include "coordination/messages/changes_request_message.h"
#include "state/ids.h"

#include <string>
#include <variant>
#include <vector>

namespace sardinelb {

// Send a request for changes to a daemon.
struct send_changes_request {
    daemon_id to;
    changes_request_message message;
};

// Send changes to a daemon.
struct send_changes {
    daemon_id to;
    changes_message message;
};

// Read the whole configuration from the table; answer with config_spread::onTableLoadResult.
struct load_table { };

// Read the changes after a version from the table; answer with config_spread::onTableReadResult.
struct read_table {
    config_version after;
};

// The configuration has risen to this version; put it in force when the daemon is ready.
struct configuration_applied {
    config_version version;
};

// Changes could not be applied; write a log line.
struct apply_failed {
    std::string subject;
    std::string detail;
};

using spread_action = std::variant<send_changes_request, send_changes, load_table, read_table, configuration_applied,
    apply_failed>;

using spread_actions = std::vector<spread_action>;

}
