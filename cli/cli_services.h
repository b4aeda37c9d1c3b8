#pragma once

#include "state/configuration_change.h"
#include "state/state_error.h"
#include "state/table_service.h"
#include "state/time.h"

#include <functional>
#include <string>
#include <vector>

namespace sardinelb {

struct cli_settings;

// External services that the commands use. Calls to entries block until the response or a timeout, and are made from
// several threads. They fail with Unavailable if the entry does not respond.
struct cli_services {
    table_service table;

    // Sends the change to the entry at the address; returns whether the entry now holds it and all earlier changes.
    std::function<state_result<bool>(const std::string& address, const configuration_change&)> push;

    // Returns the status of the daemon at the address and of the daemons that it knows, one JSON object each.
    std::function<state_result<std::vector<std::string>>(const std::string& address)> readStatus;

    // Returns the log lines of the entry at the address about the request.
    std::function<state_result<std::vector<std::string>>(const std::string& address, const std::string& request)>
        explain;

    std::function<void(duration)> sleep;

    // Returns a token that is unique to a change.
    std::function<std::string()> generateToken;
};

// Creates the services for the addresses in the settings.
using cli_connector = std::function<cli_services(const cli_settings&)>;

}
