#pragma once

#include "state/time.h"

#include <cstdint>

namespace sardinelb::stand_ins {

// Limits the total rate of all transfers.
class transfer_pacer {
public:
    // The rate must be above 0.
    explicit transfer_pacer(double bytesPerSecond);

    // Reserves bandwidth for the bytes after all earlier reservations. Returns the time from which they may be sent.
    time_point reserve(std::uint64_t bytes, time_point now);

private:
    double m_bytesPerSecond;
    time_point m_freeFrom = time_point::min();
};

}
