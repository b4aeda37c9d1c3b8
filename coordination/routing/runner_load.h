#pragma once

#include "coordination/attempt_id.h"
#include "coordination/queueing/request_cost.h"
#include "coordination/routing/load_report.h"
#include "state/time.h"

#include <cstdint>
#include <unordered_map>

namespace sardinelb {

// Load of one runner as one entry sees it: the last report, plus the entry's own attempts that the report cannot
// contain yet, minus own attempts that have ended since the report.
class runner_load {
public:
    void reported(const load_report&, time_point now);

    void onAttemptStarted(const attempt_id&, const request_cost&, time_point now);

    // Ends an own attempt. Does nothing when the attempt is not known.
    void ended(const attempt_id&, time_point now);

    // Forgets the report, as when the agent has restarted. Own attempts are kept until they end.
    void forgetReport();

    // Expected completion tokens still to come, per slot.
    double tokensPerSlot() const;

    // Requests that wait or run, per slot. Below 1 the runner has a free slot.
    double occupancy() const;

    const load_report& report() const { return m_report; }
    std::size_t ownInFlight() const { return m_own.size(); }

private:
    struct own_attempt {
        double tokens = 0;
        time_point startedAt;
        // Whether the last report contains the attempt.
        bool inReport = false;
    };

    void subtractFromReport(const own_attempt&, time_point now);

    load_report m_report;
    time_point m_reportedAt;
    std::unordered_map<attempt_id, own_attempt> m_own;
    // Sums over the own attempts that the report does not contain.
    double m_unreportedTokens = 0;
    double m_unreportedRequests = 0;
    // Part of the report that belongs to own attempts that have ended since.
    double m_endedTokens = 0;
    double m_endedRequests = 0;
};

}
