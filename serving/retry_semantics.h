#pragma once

namespace sardinelb {

// Whether and how a request may be retried, as configured for its route.
enum class retry_semantics {
    // May run any number of times.
    Idempotent,
    // Runs at most once.
    AtMostOnce,
    // A stream that another runner may resume after the last event received.
    ResumableStream,
    // A stream that runs at most once.
    SingleStream,
};

constexpr bool isStream(retry_semantics rule)
{
    return rule == retry_semantics::ResumableStream || rule == retry_semantics::SingleStream;
}

// Whether the request may be sent again after a runner may have run it.
constexpr bool mayRunAgain(retry_semantics rule)
{
    return rule == retry_semantics::Idempotent || rule == retry_semantics::ResumableStream;
}

}
