#include "coordination/claims/claim_result.h"

namespace sardinelb {

const char* toString(claim_verdict verdict)
{
    switch (verdict) {
    case claim_verdict::Claimed:
        return "claimed";
    case claim_verdict::InProgress:
        return "in_progress";
    case claim_verdict::Ended:
        return "ended";
    case claim_verdict::OtherRequest:
        return "other_request";
    case claim_verdict::StoreUnavailable:
        return "store_unavailable";
    }
    return "invalid";
}

}
