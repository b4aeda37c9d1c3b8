#pragma once

namespace sardinelb {

// How a call to a runner failed.
enum class call_failure {
    // Nothing was sent, because the runner cannot be reached.
    Unreachable,
    // Nothing was run, because nothing was sent or the runner refused the request.
    NotExecuted,
    // The connection broke, or the runner failed, after the request may have reached it.
    Broken,
};

}
