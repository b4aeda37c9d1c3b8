#include "serving/runner_record.h"

namespace sardinelb {

namespace {

// Agents report ten times per second; an older report is ignored.
constexpr duration reportLifetime = std::chrono::milliseconds(1500);

}

bool runner_record::hasRecentLoad(time_point now) const
{
    return load && now - load->at <= reportLifetime;
}

std::uint32_t runner_record::estimatedLoad(time_point now) const
{
    if (!hasRecentLoad(now))
        return inFlight;
    const std::uint32_t others = load->total > load->own ? load->total - load->own : 0;
    return others + inFlight;
}

}
