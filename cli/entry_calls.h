#pragma once

#include "state/state_error.h"

#include <functional>
#include <string>
#include <vector>

namespace sardinelb {

struct cli_settings;

// Response of one entry: a list of texts, or an error.
struct entry_response {
    std::string zone;
    std::string address;
    state_result<std::vector<std::string>> lines;
};

// Queries all entries in parallel. The responses are in the order of the settings.
std::vector<entry_response> queryAllEntries(
    const cli_settings&, const std::function<state_result<std::vector<std::string>>(const std::string& address)>&);

}
