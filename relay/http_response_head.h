#pragma once

#include "relay/http_field.h"

#include <string>
#include <vector>

namespace sardinelb {

// Status and header fields of a response as received.
struct http_response_head {
    int status = 0;
    std::vector<http_field> fields;
};

}
