#pragma once

#include "platform/rank_client.h"

#include <optional>

namespace sardinelb {

// Decides which reports of a runner an agent may act on. A faulty runner may put a wrong value into a report now and then, and
// coordinators, entries and the witness act on some values at once: the group and rank, the epoch, the start of the process, and
// the state of a map switch. A change of one of these counts once two reports in a row show it, and so does a step that a group
// cannot have reached since the last report. Pure state machine.
class runner_report_filter {
public:
    enum class verdict {
        // The report may be used.
        Accepted,
        // The report shows a change that the next one must confirm, and is not to be used.
        Unconfirmed,
    };

    verdict onReport(const platform::runner_report&);

    // Name of the value that the report before the last one had changed, if the last one is as if it had not changed. nullptr if there is
    // none.
    const char* contradictedField() const { return m_contradictedField; }

private:
    std::optional<platform::runner_report> m_accepted;
    // The last report, if it awaits confirmation.
    std::optional<platform::runner_report> m_unconfirmed;
    const char* m_contradictedField = nullptr;
};

}
