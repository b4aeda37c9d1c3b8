#pragma once

#include "state/layer_result.h"
#include "state/state_error.h"

#include <string>
#include <vector>

namespace sardinelb {

// One fault in a JSON document. Documents are checked to the end, so that an operator sees all faults at once.
struct document_fault {
    // File or table row, and the entity in it, as in `fleet.json: teams[2] "acme"`.
    std::string location;
    // Path of the field inside the entity, as in "contract.answer_within_ms"; empty for the entity itself.
    std::string field;
    // The value found, as JSON; empty when it is missing.
    std::string value;
    // What is valid, as in "expected a whole number from 1 to 3600000".
    std::string expected;
    state_errc code = state_errc::Invalid;

    friend bool operator==(const document_fault&, const document_fault&) = default;
};

using document_faults = std::vector<document_fault>;

// Holds a value or at least one fault.
template <typename T>
using document_result = layer_result<T, document_faults>;

// Formats the fault as one line: location, field, value and what is valid.
std::string describe(const document_fault&);

// Returns one error that lists all faults, one per line, with the code of the first fault.
state_error toStateError(const document_faults&);

}
