#include "tests/stand_ins/transfer_pacer.h"

#include <algorithm>

namespace sardinelb::stand_ins {

transfer_pacer::transfer_pacer(double bytesPerSecond)
    : m_bytesPerSecond(bytesPerSecond)
{
}

time_point transfer_pacer::reserve(std::uint64_t bytes, time_point now)
{
    const auto start = std::max(m_freeFrom, now);
    const std::chrono::duration<double> length(static_cast<double>(bytes) / m_bytesPerSecond);
    m_freeFrom = start + std::chrono::duration_cast<duration>(length);
    // The bytes are sent at the end of the time that they take at this rate.
    return m_freeFrom;
}

}
