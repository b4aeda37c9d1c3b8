#pragma once

namespace sardinelb {

// What may be done again for one request, as its route says.
enum class retry_semantics {
    // May run any number of times.
    Idempotent,
    // Runs at most once.
    AtMostOnce,
    // A stream that another runner may continue after the last event that arrived.
    ResumableStream,
    // A stream that runs at most once.
    SingleStream,
};

constexpr bool isStream(retry_semantics rule)
{
    return rule == retry_semantics::ResumableStream || rule == retry_semantics::SingleStream;
}

// Whether the request may be sent again although a runner may have run it.
constexpr bool mayRunAgain(retry_semantics rule)
{
    return rule == retry_semantics::Idempotent || rule == retry_semantics::ResumableStream;
}

}
