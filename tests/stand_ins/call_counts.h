#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sardinelb::stand_ins {

struct booking_record;

// Number of calls that the plain services executed, by request id or by body.
using call_counts = std::map<std::string, std::uint64_t>;

// Differences between the outcomes reported to callers and the calls that the services executed.
struct count_differences {
    std::uint64_t compared = 0;
    // Bookings that were executed more than once.
    std::uint64_t repeated = 0;
    // Bookings that were answered but not executed.
    std::uint64_t missing = 0;
    // Bookings that were executed although they were reported as not run.
    std::uint64_t runThoughRefused = 0;
    // Request ids with more than one call, and responses whose request id was not executed exactly once.
    std::uint64_t badRequestIds = 0;

    bool isEmpty() const { return repeated + missing + runThoughRefused + badRequestIds == 0; }
};

// Adds the counts of one service, given its JSON response. Throws std::invalid_argument unless it is an object of
// numbers.
void addCounts(call_counts&, const std::string& text);

count_differences compareCounts(
    const std::vector<booking_record>&, const call_counts& byRequestId, const call_counts& byBody);

}
