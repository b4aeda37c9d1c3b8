#pragma once

namespace sardinelb {

// How a call to a runner failed.
enum class call_failure {
    // Nothing was sent because the runner is unreachable.
    Unreachable,
    // The request was not executed: it was not sent, or the runner rejected it.
    NotExecuted,
    // The connection broke or the runner failed after the request may have reached it.
    Broken,
};

}
