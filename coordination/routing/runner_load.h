#pragma once

#include "coordination/attempt_id.h"
#include "coordination/queueing/request_cost.h"
#include "coordination/routing/load_report.h"
#include "state/time.h"

#include <cstdint>
#include <unordered_map>

namespace sardinelb {

// Load of one runner as estimated by one entry: the last report, plus the entry's own attempts that the report cannot
// include yet, minus own attempts that have ended since the report.
class runner_load {
public:
    void onReport(const load_report&, time_point now);

    void onAttemptStarted(const attempt_id&, const request_cost&, time_point now);

    // Records the end of an own attempt. Unknown attempts are ignored.
    void onAttemptFinished(const attempt_id&, time_point now);

    // Discards the report, as after a restart of the agent. Own attempts are kept until they end.
    void forgetReport();

    // Expected completion tokens still to be generated, per slot.
    double tokensPerSlot() const;

    // Queued and running requests per slot. Below 1, the runner has a free slot.
    double occupancy() const;

    const load_report& report() const { return m_report; }
    std::size_t ownInFlight() const { return m_own.size(); }

private:
    struct own_attempt {
        double tokens = 0;
        time_point startedAt;
        // Whether the last report includes the attempt.
        bool inReport = false;
    };

    void subtractFromReport(const own_attempt&, time_point now);

    load_report m_report;
    time_point m_reportedAt;
    std::unordered_map<attempt_id, own_attempt> m_own;
    // Sums over the own attempts that the report does not include.
    double m_unreportedTokens = 0;
    double m_unreportedRequests = 0;
    // Part of the reported load caused by own attempts that have ended since.
    double m_endedTokens = 0;
    double m_endedRequests = 0;
};

}
