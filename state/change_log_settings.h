#pragma once

#include <cstddef>
#include <cstdint>

namespace sardinelb {

// Fixed parameters of a change log.
struct change_log_settings {
    // Bounds the changes that a starting daemon replays.
    std::uint64_t changesPerSnapshot = 200;
    // Limit on the text of one change. Daemons send a change in one frame of at most 1 MiB.
    std::size_t maxChangeBytes = 524'288;
    // Limit of one range read.
    int rowsPerRead = 200;
    // Attempts to commit one change. Every failed attempt means that another change was committed or an answer was
    // lost.
    int maxCommitAttempts = 64;
};

}
