#pragma once

#include <cstddef>

namespace sardinelb::fakes {

// Steps of a request at which a fault can be injected, in the order in which they occur.
enum class request_step {
    Accept,
    // A runner has been chosen; the submit has not been sent.
    Route,
    SubmitSent,
    AdmissionSent,
    Dispatch,
    FirstToken,
    MidStream,
    LastChunk,
    FinishSent,
    // The caller receives the final action.
    Settle,
};

inline constexpr std::size_t requestSteps = 10;

// Name for reports, such as "submit-sent".
const char* toString(request_step);

}
