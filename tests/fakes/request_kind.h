#pragma once

namespace sardinelb::fakes {

// Kinds of requests, which differ in the handling of failures.
enum class request_kind {
    // Idempotent, and resumable at any token.
    ChatStream,
    NonIdempotentCall,
    IdempotentCall,
};

// Name for reports, such as "chat".
const char* toString(request_kind);

}
