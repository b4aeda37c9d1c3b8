#pragma once

#include "state/time.h"

#include <cstdint>
#include <optional>

namespace sardinelb {

// Learns the time between two tokens of one stream on one runner, as a moving average over tokens.
class token_pace {
public:
    explicit token_pace(duration initial);

    // Notes that one stream produced `tokens` tokens, at least one, in the given time.
    void observe(duration elapsed, std::int64_t tokens, time_point now);

    duration interval() const;

    // Whether the interval comes from recent observations, so that work may be refused for it. Otherwise a runner whose
    // interval is wrong would refuse all work and never learn better.
    bool isRecent(time_point now) const;

private:
    // Microseconds.
    double m_interval;
    std::optional<time_point> m_observedAt;
};

}
