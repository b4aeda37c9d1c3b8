#pragma once

#include <string>

namespace sardinelb::stand_ins {

enum class response_class {
    // Complete and the expected response.
    Answered,
    // An error response that says that the request was not run, or no connection could be made.
    NotRun,
    // An error response that says that the request ran but has no result.
    Failed,
    // An error response that says that the request may have run.
    Unknown,
    // Truncated, or not in the format of the interface.
    Broken,
    // Complete, but not the expected response.
    Wrong,
};

// Name in reports, such as "not_run".
const char* toString(response_class);

// Result of checking a response.
struct response_verdict {
    response_class kind = response_class::Broken;
    // For NotRun: whether a later attempt may succeed.
    bool isTransient = false;
    // Request id in the response; empty if absent.
    std::string requestId;
    // What is wrong with the response; empty for Answered.
    std::string detail;
};

}
