#pragma once

#include "coordination/leases/runner_order.h"
#include "state/ids.h"
#include "state/table_row.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sardinelb {

// Keys of all orders lie between these two; `to` is exclusive.
inline constexpr const char* orderKeysFrom = "order/";
inline constexpr const char* orderKeysTo = "order0";

// Key of the row, as in "order/runner-7/00000000000000000012".
std::string orderKey(const runner_id&, std::uint64_t sequence);

// First key of the runner's orders, and the exclusive end.
std::string orderKeysOf(const runner_id&);
std::string endOfOrderKeysOf(const runner_id&);

// Value of the row, a JSON object.
std::string toText(const runner_order&);

// Nothing when the row is not that of an order.
std::optional<runner_order> parseOrder(const table_row&);

}
