#include "serving/exclusion_reason.h"

namespace sardinelb {

const char* nameOf(exclusion_reason reason)
{
    switch (reason) {
    case exclusion_reason::None:
        return "none";
    case exclusion_reason::AwaitingFirstReport:
        return "awaiting_first_report";
    case exclusion_reason::Draining:
        return "draining";
    case exclusion_reason::ZoneEvacuated:
        return "zone_evacuated";
    case exclusion_reason::Leaving:
        return "leaving";
    case exclusion_reason::Replaced:
        return "replaced";
    case exclusion_reason::BackingOff:
        return "backing_off";
    case exclusion_reason::PauseRequested:
        return "pause_requested";
    case exclusion_reason::RateLimited:
        return "rate_limited";
    case exclusion_reason::GroupNotOpen:
        return "group_not_open";
    }
    return "unknown";
}

}
