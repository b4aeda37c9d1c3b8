#pragma once

namespace sardinelb {

// Why a connection has to give up its memory or its descriptor.
enum class eviction_reason {
    // It has made no progress for a while.
    Stalled,
    // It has the largest unfinished request, or the newest of those.
    LargestRequest,
    // It has had no request for a while, and its descriptor is needed.
    Idle,
};

// The name in logs and metrics.
constexpr const char* nameOf(eviction_reason reason)
{
    switch (reason) {
    case eviction_reason::Stalled:
        return "stalled";
    case eviction_reason::LargestRequest:
        return "largest_request";
    case eviction_reason::Idle:
        return "idle";
    }
    return "";
}

}
