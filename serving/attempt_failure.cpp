#include "serving/attempt_failure.h"

namespace sardinelb {

const char* nameOf(attempt_failure failure)
{
    switch (failure) {
    case attempt_failure::NotConnected:
        return "not_connected";
    case attempt_failure::Rejected:
        return "rejected";
    case attempt_failure::WrongRunner:
        return "wrong_runner";
    case attempt_failure::OutcomeUnknown:
        return "unknown";
    case attempt_failure::ServerError:
        return "server_error";
    }
    return "unknown";
}

}
