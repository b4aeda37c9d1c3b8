#pragma once

#include "coordination/execution_outcome.h"

#include <optional>
#include <string>
#include <string_view>

namespace sardinelb {

// Value of the table row that holds the claim of one idempotency key.
struct claim_record {
    // Unique to one claim of one writer, so that the writer recognises its own row after a write without an answer.
    std::string token;
    // Digest of method, target and body, since a key identifies only one request.
    std::string requestDigest;
    // Absent while the request is in progress, or when its entry died before recording it.
    std::optional<execution_outcome> outcome;
    // HTTP status sent to the caller, once the outcome is known.
    int httpStatus = 0;

    friend bool operator==(const claim_record&, const claim_record&) = default;
};

// Conversion to the value of a row and back. claimFromText() returns nothing when the text is not a claim.
std::string toText(const claim_record&);
std::optional<claim_record> claimFromText(std::string_view);

}
