#pragma once

#include "relay/http_field.h"

#include <string>
#include <vector>

namespace sardinelb {

// A complete request as received.
struct http_request_message {
    std::string method;
    // Path and query.
    std::string target;
    std::vector<http_field> fields;
    std::string body;
};

}
