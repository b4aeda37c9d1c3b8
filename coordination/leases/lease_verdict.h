#pragma once

namespace sardinelb {

// A limit owner's decision on a request for a lease.
enum class lease_verdict {
    // The lease is granted, and the amount that the entry holds is renewed.
    Granted,
    // The contract does not allow the amount that is needed.
    Denied,
    // The daemon is not the owner, or has just become the owner and waits for its predecessor to stop.
    NotReady,
};

// Name for logs and metrics, such as "denied".
const char* toString(lease_verdict);

}
