#include "coordination/claims/claim_refusal.h"

#include "coordination/claims/claim_result.h"

#include <chrono>
#include <string>

namespace sardinelb {

namespace {

constexpr duration storeRetryAfter = std::chrono::seconds(1);

std::string endedText(const claim_record& earlier)
{
    return "a request with this idempotency key has ended with status " + std::to_string(earlier.httpStatus);
}

}

caller_error refusalFor(const claim_result& result)
{
    switch (result.verdict) {
    case claim_verdict::InProgress:
        return { "duplicate", "a request with this idempotency key is in progress, or its outcome is not known",
            execution_outcome::Unknown, std::nullopt };
    case claim_verdict::Ended:
        return { "duplicate", endedText(result.earlier), result.earlier.outcome.value_or(execution_outcome::Unknown),
            std::nullopt };
    case claim_verdict::OtherRequest:
        return { "idempotency_key_reused", "this idempotency key was used for another request",
            execution_outcome::NotRun, std::nullopt };
    case claim_verdict::Claimed:
    case claim_verdict::StoreUnavailable:
        break;
    }
    return { "store_unavailable", "the idempotency key could not be recorded", execution_outcome::NotRun,
        storeRetryAfter };
}

}
