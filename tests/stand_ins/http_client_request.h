#pragma once

#include "state/time.h"

#include <chrono>
#include <string>

namespace sardinelb::stand_ins {

// An HTTP request to send. Headers with an empty value are omitted.
struct http_client_request {
    // "address:port".
    std::string address;
    std::string method;
    std::string target;
    std::string body;
    std::string bearerKey;
    std::string idempotencyKey;
    duration timeout = std::chrono::seconds(60);
};

}
