#pragma once

namespace sardinelb {

// Why an entry sends a runner no request now. The first reason that applies counts, in this order.
enum class exclusion_reason {
    // The runner can be used.
    None,
    // The process is new, and its agent has not reported yet.
    AwaitingFirstReport,
    Draining,
    // The operator has evacuated the runner's availability zone.
    ZoneEvacuated,
    // The runner itself says that it leaves; the list may not say so yet.
    Leaving,
    // Another process listens on the runner's address.
    Replaced,
    // Attempts at the runner failed lately.
    BackingOff,
    // The runner has asked this entry to send nothing for a while.
    PauseRequested,
    // This entry has used its part of what the runner takes from all entries.
    RateLimited,
    // A rank of the runner's group is missing, so that no pass can run.
    GroupNotOpen,
};

}
