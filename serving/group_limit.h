#pragma once

#include "state/time.h"

#include <cstdint>
#include <deque>

namespace sardinelb {

struct engine_profile;

// Adaptive limit on the requests that each rank of a group runs concurrently, which keeps passes within the objective for
// event gaps. All ranks advance in lock-step, so a long pass delays every stream of the group.
//
// Handles demand above capacity while the demand for experts shifts every few seconds. After each shift the map fits badly
// until it is replaced, and a stream lives long enough to meet such a moment. The limit therefore follows the slow passes of
// the last seconds and not their average; a limit that rose between two shifts would make every stream late at the next one.
// Pure state machine.
class group_limit {
public:
    // `slots` is the most requests that a rank runs concurrently.
    explicit group_limit(std::uint32_t slots);

    // Records `gap`, the time between two consecutive events of one of the group's streams, which is the duration of a pass.
    // `objective` is the eventGapObjective of the stream's traffic route.
    void onPass(duration gap, duration objective);

    // Whether enough passes and time have gone by since the last update.
    bool isUpdateDue(time_point now) const;

    // Recomputes the limit from the recorded passes. `meanRunning` is the mean number of requests that a rank ran meanwhile.
    void update(const engine_profile&, double meanRunning, time_point now);

    // Mean number of requests per rank.
    double requestsPerRank() const { return m_limit; }

    // Duration of the slow passes that determine the limit, relative to that of a perfectly balanced group. 0 before the first
    // update.
    double slowdown() const { return m_slowdown; }

    // Moving average of the pass duration. 0 before the first pass.
    double smoothedPassMs() const { return m_smoothedPassMs; }

private:
    double highSlowdown() const;

    double m_slots;
    double m_limit;
    double m_slowdown = 0;
    double m_smoothedPassMs = 0;
    // Passes recorded since the last update, and the sum of their durations.
    std::uint32_t m_passCount = 0;
    double m_passSumMs = 0;
    double m_objectiveMs = 0;
    time_point m_updatedAt;
    // Duration of recent passes relative to that of a perfectly balanced group.
    struct slowdown_sample {
        time_point at;
        double slowdown = 0;
    };
    std::deque<slowdown_sample> m_slowdowns;
};

}
