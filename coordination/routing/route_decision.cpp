#include "coordination/routing/route_decision.h"

namespace sardinelb {

const char* toString(route_reason reason)
{
    switch (reason) {
    case route_reason::LeastLoaded:
        return "least_loaded";
    case route_reason::PrefixAffinity:
        return "prefix_affinity";
    case route_reason::Probe:
        return "probe";
    case route_reason::OnlyChoice:
        return "only_choice";
    }
    return "invalid";
}

}
