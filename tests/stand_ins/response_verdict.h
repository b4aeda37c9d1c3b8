#pragma once

#include <string>

namespace sardinelb::stand_ins {

enum class response_class {
    // Whole and the request's own.
    Answered,
    // The caller was told that the request was not run.
    NotRun,
    // The caller was told that the request ran, but got no answer.
    Failed,
    // The caller was told that the request may have run.
    Unknown,
    // The answer was cut off, or is not in the form that the interface prescribes.
    Broken,
    // The answer is whole but not that of the request.
    Wrong,
};

// Name for reports, as in "not_run".
const char* toString(response_class);

// What the load driver makes of one answer.
struct response_verdict {
    response_class kind = response_class::Broken;
    // For NotRun: whether the refusal is one that can pass with time.
    bool isTransient = false;
    // The request id that the answer names; empty when it names none.
    std::string requestId;
    // What is wrong with the answer; empty for Answered.
    std::string detail;
};

}
