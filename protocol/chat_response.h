#pragma once

#include "coordination/queueing/token_usage.h"
#include "state/ids.h"

#include <string>

namespace sardinelb {

// Response bodies of POST /v1/chat/completions, in the format of the OpenAI chat completions API.

// Complete response to a request without streaming.
std::string chatResponse(
    const request_id&, const std::string& model, const std::string& content, const token_usage&);

// One server-sent event with generated text.
std::string chatEvent(const request_id&, const std::string& model, const std::string& content);

// The last two events of a complete stream: the finish reason with the usage, and the end marker.
std::string chatFinalEvents(const request_id&, const std::string& model, const token_usage&);

// Server-sent event that ends an aborted stream; no end marker follows. `body` comes from errorBody().
std::string chatErrorEvent(const std::string& body);

}
