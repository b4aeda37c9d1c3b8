#pragma once

namespace sardinelb {

// What is known about the execution of a request.
enum class execution_outcome {
    // It has not run and will not run.
    NotRun,
    // It ran, and the answer is complete.
    Completed,
    // It ran and failed, or its answer was truncated.
    Failed,
    // It may have run.
    Unknown,
};

}
