#pragma once

#include "state/layer_result.h"

#include <string>

namespace sardinelb {

enum class state_errc {
    // A document is not valid JSON, or a field is missing, unknown or out of range.
    Invalid,
    // Two entities claim the same name.
    NameCollision,
    // A name is not configured.
    NotFound,
    // Another writer changed the row or entity first.
    Conflict,
    // The table service did not accept the request, which had no effect.
    Unavailable,
    // The table service did not answer; the write may or may not have taken effect.
    OutcomeUnknown,
};

// Error of the state layer. `subject` names the offending file, field, entity or row; `detail` says what was found and
// what is valid.
struct state_error {
    state_errc code;
    std::string subject;
    std::string detail;
};

template <typename T>
using state_result = layer_result<T, state_error>;

}
