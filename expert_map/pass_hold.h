#pragma once

#include "state/ids.h"
#include "state/time.h"

namespace sardinelb {

// A hold of a pass that has ended.
struct pass_hold {
    enum class end {
        // The ranks were armed or had switched when the hold ended.
        Switched,
        // The hold ended and no switch was to follow.
        GivenUp,
        // The group formed anew.
        GroupReformed,
    };

    step_number step;
    // Whether this coordinator ordered the hold. Otherwise another one did, or an earlier process.
    bool isOwn = false;
    end endedBy = end::GivenUp;
    // Time from the first report that shows the hold to the first one that no longer does.
    duration held {};
    // Part of `held` in which the group waited, because the held pass was its next one.
    duration waited {};
};

}
