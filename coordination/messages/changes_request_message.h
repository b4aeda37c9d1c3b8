#pragma once

#include "state/ids.h"

#include <cstdint>
#include <limits>

namespace sardinelb {

// Asks a daemon for configuration changes.
struct changes_request_message {
    // Value of `after` that asks for nothing but the version; it is always answered.
    static constexpr config_version versionOnly { std::numeric_limits<std::uint64_t>::max() };

    // Changes after this version are wanted. A daemon that has none does not answer.
    config_version after;
    // Repeated in the answer.
    std::uint64_t nonce = 0;
    // Whether a whole configuration may be sent when the changes are no longer known one by one.
    bool snapshotAllowed = false;
    // Position of the first entity of `snapshotVersion` that is wanted next; 0 begins a new snapshot.
    std::uint32_t snapshotFirst = 0;
    config_version snapshotVersion;
};

}
