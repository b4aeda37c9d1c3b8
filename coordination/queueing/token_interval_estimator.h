#pragma once

#include "state/time.h"

#include <cstdint>
#include <optional>

namespace sardinelb {

// Estimates the time between two tokens of one stream on one runner, as a moving average over tokens.
class token_interval_estimator {
public:
    explicit token_interval_estimator(duration initial);

    // Records that one stream generated `tokens` tokens, at least one, in the given time.
    void observe(duration elapsed, std::int64_t tokens, time_point now);

    duration interval() const;

    // Whether the interval is based on recent observations. Only then may work be refused because of it: with a wrong
    // estimate, the runner would refuse all work, and the estimate would never be corrected.
    bool isRecent(time_point now) const;

private:
    // In microseconds.
    double m_interval;
    std::optional<time_point> m_observedAt;
};

}
