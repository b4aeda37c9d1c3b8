#pragma once

#include "cli/cli_services.h"
#include "cli/cli_settings.h"

#include <functional>
#include <string>

namespace sardinelb {

// Settings and services of a command.
struct command_context {
    cli_settings settings;
    cli_services services;
    // Logs a message at level debug.
    std::function<void(const std::string&)> logDebug;
};

}
