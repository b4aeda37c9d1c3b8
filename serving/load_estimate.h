#pragma once

#include "serving/follower_share.h"
#include "state/time.h"

namespace sardinelb {

struct runner_record;

// Requests on a model runner when the next request of this entry reaches it, in requests, for a comparison with other runners.
//
// Handles many entries that choose from the same reports, some of which are a second old, so that the runner with the lowest
// reported load would get requests from all of them. Each request that this entry has sent since the report stands for those
// that the other followers have sent since; `share` tells how many these are, and at which of them this entry comes, so that
// the followers of a runner take turns without messages. Reported requests of other entries end as time goes by. Without a recent
// report, the entry's own requests stand for all.
double assumedLoad(const runner_record&, const follower_share& share, duration serviceTime, time_point now);

}
