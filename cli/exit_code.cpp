#include "cli/exit_code.h"

namespace sardinelb {

const char* describe(exit_code code)
{
    switch (code) {
    case exit_code::Success:
        return "done; a change is accepted in every zone";
    case exit_code::InternalError:
        return "internal error";
    case exit_code::Usage:
        return "unknown option or command";
    case exit_code::InvalidInput:
        return "a settings file, configuration file or value is invalid; nothing was written";
    case exit_code::NotFound:
        return "the team, runner or request is not known; nothing was written";
    case exit_code::Conflict:
        return "another operator changed the same entity first; the change was not written";
    case exit_code::TableUnavailable:
        return "the table service cannot be reached; the change was not written";
    case exit_code::OutcomeUnknown:
        return "the answer to a write was lost; the change may have been committed";
    case exit_code::ZoneUnreachable:
        return "the change is committed and accepted, but no entry of a named zone can be reached";
    case exit_code::NotAccepted:
        return "the change is committed, but too few entries hold it yet; run the command again";
    case exit_code::DaemonsUnreachable:
        return "some daemons gave no answer; what the others answered is shown";
    }
    return "invalid";
}

std::string exitCodeList()
{
    constexpr int last = static_cast<int>(exit_code::DaemonsUnreachable);
    std::string list;
    for (int code = 0; code <= last; ++code) {
        const std::string number = std::to_string(code);
        list += number.size() < 2 ? "   " : "  ";
        list += number;
        list += "  ";
        list += describe(static_cast<exit_code>(code));
        list += '\n';
    }
    return list;
}

}
