#pragma once

#include "transport/http_call.h"
#include "transport/http_response.h"
#include "transport/socket_address.h"
#include "transport/transport_error.h"

namespace sardinelb {

// Makes one HTTP request on its own connection and waits for the complete response. For threads that may block: the
// store thread and the command-line client. Errors: ConnectionRefused (nothing was sent), ConnectionLost, Timeout,
// BadMessage, ResponseTooLong.
transport_result<http_response> callHttp(const socket_address&, const http_call&);

}
