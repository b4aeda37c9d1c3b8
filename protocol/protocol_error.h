#pragma once

#include "state/layer_result.h"

#include <string>

namespace sardinelb {

struct coordination_error;

enum class protocol_errc {
    // A frame or body is malformed, or a field is missing, unknown or out of range.
    Malformed,
    // A frame, header or body is over its limit.
    TooLarge,
    // The caller's API key is missing or unknown.
    Unauthorized,
    // The path, model or name is not known.
    NotFound,
    // The request was rejected because of load, limits, draining or a deadline.
    Refused,
    // The same request or idempotency key was seen before.
    Duplicate,
    // An internal failure.
    Internal,
};

// Error of the protocol layer. `subject` is the offending field or name; `detail` says what is expected.
struct protocol_error {
    protocol_errc code;
    std::string subject;
    std::string detail;
};

template <typename T>
using protocol_result = layer_result<T, protocol_error>;

// Converts an error of the coordination layer.
protocol_error toProtocolError(const coordination_error&);

}
