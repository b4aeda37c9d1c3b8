#include "tests/stand_ins/response_verdict.h"

namespace sardinelb::stand_ins {

const char* toString(response_class kind)
{
    switch (kind) {
    case response_class::Answered:
        return "answered";
    case response_class::NotRun:
        return "not_run";
    case response_class::Failed:
        return "failed";
    case response_class::Unknown:
        return "unknown";
    case response_class::Broken:
        return "broken";
    case response_class::Wrong:
        break;
    }
    return "wrong";
}

}
