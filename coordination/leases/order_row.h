#pragma once

#include "coordination/leases/runner_order.h"
#include "state/ids.h"
#include "state/table_row.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sardinelb {

// Key range of all order rows; the end is exclusive.
inline constexpr const char* orderKeysFrom = "order/";
inline constexpr const char* orderKeysTo = "order0";

// Key of an order's row, such as "order/runner-7/00000000000000000012".
std::string orderKey(const runner_id&, std::uint64_t sequence);

// Key range of one runner's orders; the end is exclusive.
std::string orderKeysOf(const runner_id&);
std::string endOfOrderKeysOf(const runner_id&);

// Value of an order's row, a JSON object.
std::string toText(const runner_order&);

// Nothing if the row does not hold a valid order.
std::optional<runner_order> parseOrder(const table_row&);

}
