#pragma once

namespace sardinelb {

// What a rank answered to an order.
enum class map_order_result {
    Accepted,
    // The order does not fit the rank's state and changed nothing.
    Refused,
    // No answer came. The order may be carried out, also later.
    Unanswered,
};

}
