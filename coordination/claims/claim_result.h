#pragma once

#include "coordination/claims/claim_record.h"
#include "state/ids.h"

namespace sardinelb {

enum class claim_verdict {
    // The key belongs to this request; it may run.
    Claimed,
    // Another request with the key is in progress, or its outcome was never recorded.
    InProgress,
    // An earlier request with the key has ended; `earlier` says how.
    Ended,
    // The key was used for another request.
    OtherRequest,
    // The claim could not be recorded in time; the request must not run.
    StoreUnavailable,
};

// Name for logs and metrics, as in "in_progress".
const char* toString(claim_verdict);

// Answer to a claim.
struct claim_result {
    request_id request;
    claim_verdict verdict = claim_verdict::StoreUnavailable;
    // For InProgress, Ended and OtherRequest: the claim that was found.
    claim_record earlier;
};

}
