#pragma once

#include <cstddef>

namespace sardinelb {

// What the connections of one process may use together.
struct memory_limits {
    std::size_t bytes = 0;
    std::size_t connections = 0;
};

// Derives the limits of an entry's callers from those of its machine. Half of the memory is kept for the program, its tables and what
// the allocator loses; a quarter of the sockets is kept for runners, the store, other entries and readiness checks.
memory_limits callerLimitsFor(std::size_t machineBytes, std::size_t machineDescriptors);

}
