#pragma once

#include "relay/http_field.h"

#include <string>
#include <vector>

namespace sardinelb {

// Status line and header of a response as it was received.
struct http_response_head {
    int status = 0;
    std::vector<http_field> fields;
};

}
