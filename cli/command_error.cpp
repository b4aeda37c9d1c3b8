#include "cli/command_error.h"

namespace sardinelb {

namespace {

exit_code codeFor(state_errc code)
{
    switch (code) {
    case state_errc::Invalid:
    case state_errc::NameCollision:
        return exit_code::InvalidInput;
    case state_errc::NotFound:
        return exit_code::NotFound;
    case state_errc::Conflict:
        return exit_code::Conflict;
    case state_errc::Unavailable:
        return exit_code::TableUnavailable;
    case state_errc::OutcomeUnknown:
        return exit_code::OutcomeUnknown;
    }
    return exit_code::InternalError;
}

}

command_error toCommandError(const state_error& error) { return { codeFor(error.code), error.subject, error.detail }; }

command_error toCommandError(const document_faults& faults) { return toCommandError(toStateError(faults)); }

}
