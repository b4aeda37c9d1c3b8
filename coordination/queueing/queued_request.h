#pragma once

#include "coordination/attempt_id.h"
#include "coordination/queueing/request_cost.h"
#include "state/ids.h"
#include "state/service_class.h"
#include "state/time.h"

namespace sardinelb {

// One attempt as the agent's queue sees it.
struct queued_request {
    attempt_id attempt;
    team_id team;
    service_class serviceClass = service_class::Standard;
    // Weight of the team in fair queueing.
    double weight = 1;
    request_cost cost;
    // The attempt must not be dispatched after this time.
    time_point dispatchBy;
    // The answer is due at this time.
    time_point answerBy;
    // Whether the runner can pause the attempt and resume it later.
    bool preemptible = false;
};

}
