#pragma once

#include "state/ids.h"

#include <cstdint>
#include <string>

namespace sardinelb {

// Gives generated tokens to the caller. Parts of a request come in order, without gaps or repeats.
struct answer_part_action {
    request_id request;
    std::uint32_t firstToken = 0;
    std::uint32_t tokens = 0;
    std::string bytes;
};

}
