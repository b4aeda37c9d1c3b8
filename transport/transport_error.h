#pragma once

#include "state/layer_result.h"

#include <string>

namespace sardinelb {

struct protocol_error;

enum class transport_errc {
    // The address is not an IP address and port, or cannot be bound.
    BadAddress,
    // The peer refused the connection; nothing was sent.
    ConnectionRefused,
    // The connection was lost after something may have been sent.
    ConnectionLost,
    // The peer did not respond in time.
    Timeout,
    // The peer did not prove that it knows the shared key.
    Unauthenticated,
    // The peer sent something that is not a valid message.
    BadMessage,
    // The response is longer than the call can have as its response.
    ResponseTooLong,
};

// Error of the transport layer. `subject` names the offending address or connection.
struct transport_error {
    transport_errc code;
    std::string subject;
    std::string detail;
};

template <typename T>
using transport_result = layer_result<T, transport_error>;

// Converts an error of the protocol layer.
transport_error toTransportError(const protocol_error&);

}
