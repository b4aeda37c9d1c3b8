#pragma once

namespace sardinelb {

// A rank's answer to a map_order.
enum class map_order_result {
    Accepted,
    // The order does not apply in the rank's state and had no effect.
    Refused,
    // No answer arrived. The order may have been carried out or may still be.
    Unanswered,
};

}
