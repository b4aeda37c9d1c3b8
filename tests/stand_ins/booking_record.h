#pragma once

#include "tests/stand_ins/response_verdict.h"

#include <string>

namespace sardinelb::stand_ins {

// Outcome of one booking.
struct booking_record {
    // The body that was sent; it identifies the booking.
    std::string body;
    response_class result = response_class::Broken;
    // Request id in the response; empty if absent.
    std::string requestId;
};

}
