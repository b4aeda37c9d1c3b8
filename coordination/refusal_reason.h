#pragma once

namespace sardinelb {

// Why an agent refused an attempt. A refused attempt has not run and will not run.
enum class refusal_reason {
    None,
    Draining,
    QueueFull,
    DeadlineUnreachable,
    WrongIncarnation,
    Duplicate,
    Cancelled,
    RunnerDown,
    // The team already uses its whole share of the queue.
    TeamShare,
};

// Name for logs and metrics, such as "queue_full".
const char* toString(refusal_reason);

}
