#pragma once

#include "coordination/claims/claim_record.h"
#include "state/ids.h"

namespace sardinelb {

enum class claim_verdict {
    // The key belongs to this request; it may run.
    Claimed,
    // Another request with the key is in progress, or its outcome was never recorded.
    InProgress,
    // An earlier request with the key has ended; `earlier` holds its outcome.
    Ended,
    // The key was used for another request.
    OtherRequest,
    // The claim could not be recorded in time; the request must not run.
    StoreUnavailable,
};

// Name for logs and metrics, such as "in_progress".
const char* toString(claim_verdict);

// Result of a claim.
struct claim_result {
    request_id request;
    claim_verdict verdict = claim_verdict::StoreUnavailable;
    // For InProgress, Ended and OtherRequest: the existing claim.
    claim_record earlier;
};

}
