#pragma once

#include "state/store_revision.h"

#include <cstdint>

namespace sardinelb {

// What an entry knows about the list of runners, or what another entry tells that it knows.
struct list_version {
    store_revision revision;
    // Equal lists have equal digests.
    std::uint64_t digest = 0;
    // Whether runners are kept that have lost their entries in the store. Not told by other entries.
    bool hasPendingExpiry = false;
};

enum class list_action {
    // The peer knows nothing newer.
    None,
    // The list is unchanged up to the peer's revision.
    Confirm,
    // The peer has a newer list.
    ReadFromPeer,
    // The lists differ although they have the same revision, so that one of them is wrong.
    ReadFromStore,
};

// Decides what follows from the version that a peer tells. An entry that keeps runners without entries never takes its list as
// confirmed: the equal list of the peer may contain them because they have registered again, which this entry must learn
// before it removes them. Nor does it after a restore of the store: an equal list does not show that the rows behind it are.
list_action reconcile(const list_version& own, const list_version& peer);

}
