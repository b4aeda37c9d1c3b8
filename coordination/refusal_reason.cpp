#include "coordination/refusal_reason.h"

namespace sardinelb {

const char* toString(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::None:
        return "none";
    case refusal_reason::Draining:
        return "draining";
    case refusal_reason::QueueFull:
        return "queue_full";
    case refusal_reason::DeadlineUnreachable:
        return "deadline_unreachable";
    case refusal_reason::WrongIncarnation:
        return "wrong_incarnation";
    case refusal_reason::Duplicate:
        return "duplicate";
    case refusal_reason::Cancelled:
        return "cancelled";
    case refusal_reason::RunnerDown:
        return "runner_down";
    case refusal_reason::TeamShare:
        return "team_share";
    }
    return "invalid";
}

}
