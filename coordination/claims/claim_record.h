#pragma once

#include "coordination/execution_outcome.h"

#include <optional>
#include <string>
#include <string_view>

namespace sardinelb {

// Value of the table row that holds the claim of one idempotency key.
struct claim_record {
    // Unique to the writer's try, so that an unanswered write can be recognised.
    std::string token;
    // Digest of method, target and body: a key stands for one request only.
    std::string requestDigest;
    // Absent while the request is in progress, or when its entry died before it could tell.
    std::optional<execution_outcome> outcome;
    // HTTP status that the caller got, once the outcome is known.
    int httpStatus = 0;

    friend bool operator==(const claim_record&, const claim_record&) = default;
};

// Row value and back. Reading returns nothing when the text is not a claim.
std::string toText(const claim_record&);
std::optional<claim_record> claimFromText(std::string_view);

}
