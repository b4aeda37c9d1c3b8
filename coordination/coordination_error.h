#pragma once

#include "state/layer_result.h"

#include <string>

namespace sardinelb {

struct state_error;

enum class coordination_errc {
    // No runner of the pool can accept the request at present.
    NoRunner,
    // The runner is draining or stopping.
    Draining,
    // The queue is full, or the request cannot meet its deadline.
    Overloaded,
    // The team has exceeded the limits of its contract.
    OverContract,
    // The deadline has passed.
    DeadlineExceeded,
    // The message is addressed to an earlier incarnation.
    WrongIncarnation,
    // The attempt or the idempotency key was used before.
    Duplicate,
    // The lease has expired or is held by another daemon.
    LeaseLost,
    // The fencing number is lower than one already seen.
    Fenced,
    // The table service is unreachable.
    StoreUnavailable,
    // The configuration or the input does not allow the operation.
    Invalid,
};

// Error of the coordination layer. `subject` names the offending request, runner, team or lease.
struct coordination_error {
    coordination_errc code;
    std::string subject;
    std::string detail;
};

template <typename T>
using coordination_result = layer_result<T, coordination_error>;

// Converts an error of the state layer.
coordination_error toCoordinationError(const state_error&);

}
