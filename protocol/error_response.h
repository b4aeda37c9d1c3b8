#pragma once

#include "coordination/entry/caller_error.h"
#include "protocol/protocol_error.h"
#include "state/ids.h"

#include <string>

namespace sardinelb {

// Body of every error response: {"error":{"code","message","execution","request_id"}}. `execution` is "not_run", "ran"
// or "unknown".
std::string errorBody(const caller_error&, const request_id&);

// HTTP status for an error code; 502 for codes that are not listed.
int httpStatusFor(const std::string& code);

// Body for a request that the HTTP server itself rejects with this status.
std::string httpErrorBody(int httpStatus, const std::string& message);

// Error for a request that was rejected before it reached the coordination layer.
caller_error toCallerError(const protocol_error&);

}
