#pragma once

#include "state/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace sardinelb {

// Judges from the answers of one runner whether it should get work. A runner that fails or has become much slower than
// its peers is avoided. After a while it gets a single request as a probe, and after that a number that doubles with
// each success.
class runner_health {
public:
    // Notes the time from sending an attempt to the first part of its answer.
    void firstPart(duration waited);

    // Notes the end of an attempt. While the runner is avoided, only its probe counts: attempts that were sent before
    // show nothing new.
    void succeeded(bool isProbe);
    void failed(bool isProbe, time_point now);

    // Notes that a probe ended in a way that says nothing about the runner; another one may follow soon.
    void probeWasted(time_point now);

    // Shortest recent time to the first part of an answer. Nothing until enough answers have been seen. The shortest
    // one is used since a queue delays most answers but hardly all of them.
    std::optional<duration> bestFirstPart() const;

    // Starts to avoid the runner. Does nothing when it is avoided already.
    void avoid(time_point now);

    // Whether the runner may get one more attempt besides those that are in flight to it from this entry.
    bool mayTake(std::size_t ownInFlight) const;

    bool isAvoided() const { return m_stage == stage::Avoided; }

    // Whether a single request should be sent to an avoided runner now.
    bool wantsProbe(time_point now) const;

    // Notes that the probe was chosen.
    void probeChosen(time_point now);

private:
    enum class stage {
        Trusted,
        // Gets nothing but probes.
        Avoided,
        // Gets a growing number of attempts.
        Recovering,
    };

    void recoverFurther();
    void pauseLonger(time_point now);

    static constexpr std::size_t keptFirstParts = 8;

    stage m_stage = stage::Trusted;
    std::array<duration, keptFirstParts> m_firstParts {};
    std::size_t m_firstPartCount = 0;
    std::uint32_t m_failuresInRow = 0;
    std::size_t m_allowedInFlight = 1;
    duration m_pause {};
    time_point m_nextProbe;
};

}
