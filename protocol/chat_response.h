#pragma once

#include "coordination/queueing/token_usage.h"
#include "state/ids.h"

#include <string>

namespace sardinelb {

// Bodies that answer POST /v1/chat/completions, in the format of the OpenAI chat completions API.

// Whole answer of a request that does not stream.
std::string chatResponse(
    const request_id&, const std::string& model, const std::string& content, const token_usage&);

// One server-sent event with generated text.
std::string chatEvent(const request_id&, const std::string& model, const std::string& content);

// The last two events of a whole stream: finish reason with usage, and the end mark.
std::string chatEventEnd(const request_id&, const std::string& model, const token_usage&);

// Server-sent event for a stream that is broken off; no end mark follows. `body` is an error body.
std::string chatEventError(const std::string& body);

}
