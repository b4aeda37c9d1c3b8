#pragma once

#include "coordination/messages/lease_request_message.h"

#include <vector>

namespace sardinelb {

// All lease requests from an entry to one limit owner in one period.
struct lease_requests_message {
    std::vector<lease_request_message> requests;
};

}
