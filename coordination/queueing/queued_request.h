#pragma once

#include "coordination/attempt_id.h"
#include "coordination/queueing/request_cost.h"
#include "state/ids.h"
#include "state/service_class.h"
#include "state/time.h"

namespace sardinelb {

// One attempt as submitted to the agent's queue.
struct queued_request {
    attempt_id attempt;
    team_id team;
    service_class serviceClass = service_class::Standard;
    // Weight of the team in fair queueing.
    double weight = 1;
    request_cost cost;
    // Latest time to dispatch the attempt.
    time_point dispatchBy;
    // Deadline of the answer.
    time_point answerBy;
    // Whether the runner can pause and resume the attempt.
    bool preemptible = false;
};

}
