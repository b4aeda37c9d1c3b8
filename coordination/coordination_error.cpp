#include "coordination/coordination_error.h"

#include "state/state_error.h"

namespace sardinelb {

namespace {

coordination_errc codeFor(state_errc code)
{
    switch (code) {
    case state_errc::Unavailable:
    case state_errc::OutcomeUnknown:
        return coordination_errc::StoreUnavailable;
    case state_errc::Conflict:
        return coordination_errc::Duplicate;
    case state_errc::NotFound:
    case state_errc::NameCollision:
    case state_errc::Invalid:
        break;
    }
    return coordination_errc::Invalid;
}

}

coordination_error toCoordinationError(const state_error& error)
{
    return { codeFor(error.code), error.subject, error.detail };
}

}
