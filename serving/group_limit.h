#pragma once

#include "state/time.h"

#include <cstdint>

namespace sardinelb {

struct engine_profile;

// Adaptive limit on the requests that each rank of a group runs concurrently, which keeps passes within the objective for
// event gaps. All ranks advance in lock-step, so a long pass delays every stream of the group. Handles demand above
// capacity, and expert maps that fit the demand badly for a second or two. Pure state machine.
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

    std::uint32_t requestsPerRank() const { return static_cast<std::uint32_t>(m_limit); }

    // Moving average of the pass duration. 0 before the first pass.
    double smoothedPassMs() const { return m_smoothedPassMs; }

private:
    double m_slots;
    double m_limit;
    double m_smoothedPassMs = 0;
    // Passes recorded since the last update, and the sum of their durations.
    std::uint32_t m_passCount = 0;
    double m_passSumMs = 0;
    double m_objectiveMs = 0;
    time_point m_updatedAt;
};

}
