#pragma once

#include "state/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace sardinelb {

// Tracks the health of one runner from its answers. A runner that fails or becomes much slower than its peers is
// avoided. After a delay it gets a single request as a probe. If the probe succeeds, the runner may have a number of
// attempts in flight that doubles with each success.
class runner_health {
public:
    // Records the time from sending an attempt to its first token.
    void onFirstToken(duration waited);

    // Record the end of an attempt. While the runner is avoided, only its probe counts: the other attempts were sent
    // before and give no new information.
    void onAttemptSucceeded(bool isProbe);
    void onAttemptFailed(bool isProbe, time_point now);

    // Records that a probe ended without information about the runner's health; the next one may follow soon.
    void onProbeInconclusive(time_point now);

    // Shortest recent time to first token, or nothing until enough samples exist. The minimum is used because queueing
    // delays most answers but hardly all of them.
    std::optional<duration> minTimeToFirstToken() const;

    // Starts to avoid the runner. Has no effect if it is avoided already.
    void avoid(time_point now);

    // Whether the runner may get another attempt in addition to those in flight from this entry.
    bool canTake(std::size_t ownInFlight) const;

    bool isAvoided() const { return m_stage == stage::Avoided; }

    // Whether the runner is avoided and should get a probe now.
    bool isProbeDue(time_point now) const;

    // Records that the runner was chosen for a probe; the next one is delayed by the maximum.
    void onProbeChosen(time_point now);

private:
    enum class stage {
        Healthy,
        // Gets only probes.
        Avoided,
        // Limited to a growing number of attempts in flight.
        Recovering,
    };

    void advanceRecovery();
    void delayNextProbe(time_point now);

    static constexpr std::size_t firstTokenSamples = 8;

    stage m_stage = stage::Healthy;
    std::array<duration, firstTokenSamples> m_firstTokenTimes {};
    std::size_t m_firstTokenCount = 0;
    std::uint32_t m_failuresInRow = 0;
    std::size_t m_allowedInFlight = 1;
    duration m_probeDelay {};
    time_point m_nextProbe;
};

}
