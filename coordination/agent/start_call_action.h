#pragma once

#include "coordination/messages/submit_message.h"

#include <cstdint>

namespace sardinelb {

// Starts a call to the runner.
struct start_call_action {
    // The request; `resumeFrom` is the first token that this call has to generate.
    submit_message submit;
    // Number of this call within the attempt.
    std::uint32_t call = 0;
    int priority = 0;
};

}
