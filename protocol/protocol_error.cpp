#include "protocol/protocol_error.h"

#include "coordination/coordination_error.h"

namespace sardinelb {

namespace {

protocol_errc codeFor(coordination_errc code)
{
    switch (code) {
    case coordination_errc::NoRunner:
    case coordination_errc::Draining:
    case coordination_errc::Overloaded:
    case coordination_errc::OverContract:
    case coordination_errc::DeadlineExceeded:
    case coordination_errc::StoreUnavailable:
    case coordination_errc::WrongIncarnation:
        return protocol_errc::Refused;
    case coordination_errc::Duplicate:
        return protocol_errc::Duplicate;
    case coordination_errc::Invalid:
        return protocol_errc::Malformed;
    case coordination_errc::LeaseLost:
    case coordination_errc::Fenced:
        break;
    }
    return protocol_errc::Internal;
}

}

protocol_error toProtocolError(const coordination_error& error)
{
    return { codeFor(error.code), error.subject, error.detail };
}

}
