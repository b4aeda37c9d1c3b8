#pragma once

#include "state/ids.h"

#include <cstdint>
#include <limits>

namespace sardinelb {

// Asks a daemon for configuration changes.
struct changes_request_message {
    // Value of `after` that requests only the version; such a request is always answered.
    static constexpr config_version versionOnly { std::numeric_limits<std::uint64_t>::max() };

    // Requests the changes after this version. A daemon that has none does not answer.
    config_version after;
    // Repeated in the answer.
    std::uint64_t nonce = 0;
    // Whether the answer may be a snapshot of the configuration when the single changes are no longer stored.
    bool snapshotAllowed = false;
    // Position in `snapshotVersion` of the next entity to send; 0 begins a new snapshot.
    std::uint32_t snapshotFirst = 0;
    config_version snapshotVersion;
};

}
