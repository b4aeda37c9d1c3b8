#pragma once

namespace sardinelb {

// What may be done again for one request, as its route says.
enum class repeat_rule {
    // May run any number of times.
    Idempotent,
    // Runs at most once.
    AtMostOnce,
    // A stream that another runner may continue after the last event that arrived.
    ResumableStream,
    // A stream that runs at most once.
    SingleStream,
};

constexpr bool isStream(repeat_rule rule)
{
    return rule == repeat_rule::ResumableStream || rule == repeat_rule::SingleStream;
}

// Whether the request may be sent again although a runner may have run it.
constexpr bool mayRunAgain(repeat_rule rule)
{
    return rule == repeat_rule::Idempotent || rule == repeat_rule::ResumableStream;
}

}
