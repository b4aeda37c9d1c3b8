#pragma once

#include "state/time.h"

#include <cstdint>

namespace sardinelb {

struct engine_profile;

// How many requests each rank of a group may run so that its passes stay short enough for the streams. All ranks advance
// together, so a pass that is too long makes every stream of the group late. Answers demand above capacity, and expert maps
// that fit the demand badly for a second or two. Pure state machine.
class group_concurrency_limit {
public:
    // `slots` is the most that a rank runs at once.
    explicit group_concurrency_limit(std::uint32_t slots);

    // Notes the time between two events of one of the group's streams, which is the time of a pass.
    void onPass(duration gap, duration objective);

    // Whether enough passes were seen since the last update.
    bool isUpdateDue(time_point now) const;

    // Sets the limit anew from the passes seen, given the mean number of requests that a rank ran meanwhile.
    void update(const engine_profile&, double meanRunning, time_point now);

    std::uint32_t requestsPerRank() const { return static_cast<std::uint32_t>(m_limit); }

    // Usual time of a pass, smoothed, in ms. 0 until one was seen.
    double smoothedPassMs() const { return m_smoothedPassMs; }

private:
    double m_slots;
    double m_limit;
    double m_smoothedPassMs = 0;
    // Passes since the last update.
    std::uint32_t m_passCount = 0;
    double m_passSumMs = 0;
    double m_objectiveMs = 0;
    time_point m_updatedAt;
};

}
