#pragma once

#include "coordination/attempt_id.h"
#include "coordination/execution_outcome.h"
#include "coordination/queueing/request_cost.h"
#include "coordination/routing/load_report.h"
#include "coordination/routing/route_request.h"
#include "state/ids.h"
#include "state/time.h"

#include <functional>
#include <optional>
#include <vector>

namespace sardinelb::bench {

// The routing policy of one entry. The hooks correspond to the functions of sardinelb::router.
struct router_hooks {
    std::function<std::optional<runner_id>(const route_request&, time_point)> choose;
    // Whether the entry is connected to the runner and gets its load reports.
    std::function<bool(const runner_id&)> uses;
    std::function<void(const load_report&, time_point)> onLoadReport;
    std::function<void(const attempt_id&, const runner_id&, const request_cost&, time_point)> onAttemptStarted;
    std::function<void(const attempt_id&, time_point)> onFirstChunk;
    std::function<void(const attempt_id&, execution_outcome, bool refused, time_point)> onAttemptFinished;
};

}
