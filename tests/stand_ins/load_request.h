#pragma once

#include <cstdint>
#include <string>

namespace sardinelb::stand_ins {

enum class load_request_kind {
    PlainChat,
    StreamedChat,
    Booking,
};

// A request of the load driver and the expected response.
struct load_request {
    load_request_kind kind = load_request_kind::PlainChat;
    // Bearer key of the team.
    std::string key;
    std::string path;
    std::string body;
    // For bookings only.
    std::string idempotencyKey;
    // Expected text of the response; for bookings, the body that the service must have received.
    std::string expectedText;
    // Expected number of completion tokens; for chat only.
    std::uint64_t expectedTokens = 0;
};

}
