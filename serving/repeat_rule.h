#pragma once

namespace sardinelb {

// Whether and how a request may be retried, as configured for its route.
enum class repeat_rule {
    // May run any number of times.
    Idempotent,
    // Runs at most once.
    AtMostOnce,
    // A stream that another runner may resume after the last event received.
    ResumableStream,
    // A stream that runs at most once.
    SingleStream,
};

constexpr bool isStream(repeat_rule rule)
{
    return rule == repeat_rule::ResumableStream || rule == repeat_rule::SingleStream;
}

// Whether the request may be sent again after a runner may have run it.
constexpr bool mayRunAgain(repeat_rule rule)
{
    return rule == repeat_rule::Idempotent || rule == repeat_rule::ResumableStream;
}

}
