#pragma once

#include "expert_map/demand_accumulator.h"
#include "fleet/demand_report_message.h"
#include "fleet/demand_route_message.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sardinelb {

// An agent's part in gathering its group's demand: sums the choices of its own rank and of the ranks that report to it, and
// tells when to pass the sum on. Pure state machine.
class demand_reporting {
public:
    // Where to send a report.
    struct outgoing {
        // Address of the collector's runner. Empty for the coordinator.
        std::string collector;
        demand_report_message report;
    };

    // Starts anew if the agent's rank is now in another group or epoch.
    void setGroup(const group_id&, std::uint64_t epoch);

    // Follows the route until none has arrived for some seconds.
    void setRoute(const demand_route_message&, time_point now);

    // Records a reading of the rank's counters, which count from the start of the rank. `sets` is the number of expert sets, 0 if it is
    // not known. Returns false if the reading does not fit the one before: a counter has fallen, or one set has far more choices
    // than another, although each token makes as many in each set. Such a reading counts only if the next one does not fit
    // either, so that one wrong counter does not decide the next maps.
    bool onCounters(const std::vector<std::uint32_t>& counters, std::uint64_t epoch, std::size_t sets = 0);

    // Adds the report of another agent. Ignored if it is from another epoch.
    void onReport(const demand_report_message&);

    // Whether the next report is due. The counters are to be read just before takeReport().
    bool isReportDue(time_point now) const { return now >= m_nextReportAt; }

    // Returns the report to send, if anything was chosen.
    std::optional<outgoing> takeReport(time_point now);

private:
    group_id m_group;
    std::uint64_t m_epoch = 0;
    std::vector<std::uint32_t> m_previousCounters;
    // Whether the last reading did not fit the one before.
    bool m_isLastReadingDoubtful = false;
    demand_accumulator m_pending;
    std::optional<demand_route_message> m_route;
    time_point m_routeReceivedAt;
    time_point m_nextReportAt;
};

}
