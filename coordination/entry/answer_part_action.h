#pragma once

#include "state/ids.h"

#include <cstdint>
#include <string>

namespace sardinelb {

// Sends generated tokens to the caller. The parts of an answer are in order, without gaps or duplicates.
struct answer_part_action {
    request_id request;
    std::uint32_t firstToken = 0;
    std::uint32_t tokens = 0;
    std::string bytes;
};

}
