#include "serving/runner_record.h"

namespace sardinelb {

namespace {

// Agents report ten times a second; after this time the report says nothing about the present.
constexpr duration reportLifetime = std::chrono::milliseconds(1500);

}

std::uint32_t runner_record::estimatedLoad(time_point now) const
{
    if (!load || now - load->at > reportLifetime)
        return inFlight;
    const std::uint32_t others = load->total > load->own ? load->total - load->own : 0;
    return others + inFlight;
}

}
