#pragma once

namespace sardinelb {

enum class lease_verdict {
    // The lease is granted, and what the entry held is renewed.
    Granted,
    // The contract has no room for what is needed.
    Denied,
    // The daemon is not the owner, or has only just become it and still waits for its predecessor to stop.
    NotReady,
};

// Name for logs and metrics, as in "denied".
const char* toString(lease_verdict);

}
