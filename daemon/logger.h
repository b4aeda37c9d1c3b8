#pragma once

#include "state/ids.h"

#include <string>

namespace sardinelb {

// Sets up logging to standard error through an asynchronous appender, which runs the process's log thread. `level` is
// one of trace, debug, info, warn and error; returns false for any other value.
bool startLogging(const std::string& level);

// Flushes buffered lines and stops the log thread.
void stopLogging();

// Log one line "part: [request] text". Thread-safe.
void logInfo(const std::string& part, const request_id&, const std::string& text);
void logWarning(const std::string& part, const std::string& text);

}
