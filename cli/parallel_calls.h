#pragma once

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <thread>
#include <vector>

namespace sardinelb {

// Number of concurrent calls to entries; limits the time lost to entries that do not respond.
inline constexpr std::size_t maxParallelCalls = 32;

// Calls `call(index)` for every index below `count` from several threads and waits for all calls. They must be
// independent of each other and must not throw.
template <typename Call>
void callInParallel(std::size_t count, const Call& call)
{
    std::atomic<std::size_t> next = 0;
    const auto work = [&] {
        for (std::size_t index = next++; index < count; index = next++)
            call(index);
    };
    std::vector<std::jthread> threads(std::min(count, maxParallelCalls));
    for (std::jthread& thread : threads)
        thread = std::jthread(work);
}

}
