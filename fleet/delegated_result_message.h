#pragma once

#include <cstdint>

namespace sardinelb {

// An agent's answer to a delegated order.
struct delegated_result_message {
    enum class outcome : std::uint8_t {
        Accepted,
        Refused,
        // The runner did not answer; the order may have been carried out.
        Unanswered,
        // The agent does not know the map that the order refers to, and gave no order.
        BaseUnknown,
    };

    std::uint64_t id = 0;
    outcome result = outcome::Unanswered;
};

}
