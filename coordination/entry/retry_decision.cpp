#include "coordination/entry/retry_decision.h"

namespace sardinelb {

const char* toString(retry_verdict verdict)
{
    switch (verdict) {
    case retry_verdict::Retry:
        return "retry";
    case retry_verdict::NotSafe:
        return "not_safe";
    case retry_verdict::BudgetSpent:
        return "budget_spent";
    case retry_verdict::TooLate:
        return "too_late";
    case retry_verdict::TooMany:
        return "too_many";
    }
    return "invalid";
}

}
