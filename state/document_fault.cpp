#include "state/document_fault.h"

namespace sardinelb {

std::string describe(const document_fault& fault)
{
    std::string line = fault.location;
    if (!fault.field.empty())
        line += ": field \"" + fault.field + "\"";
    if (!fault.value.empty())
        line += ": found " + fault.value;
    return line + ": " + fault.expected;
}

state_error toStateError(const document_faults& faults)
{
    if (faults.empty())
        return { state_errc::Invalid, "document", "no fault was recorded" };
    std::string lines;
    for (const document_fault& fault : faults) {
        if (!lines.empty())
            lines += '\n';
        lines += describe(fault);
    }
    return { faults.front().code, faults.front().location, lines };
}

}
