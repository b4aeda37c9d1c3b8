#pragma once

#include "serving/runner_record.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace sardinelb {

// A runner that a request may be sent to now.
struct runner_candidate {
    const runner_record* record = nullptr;
    // See runnerScore().
    double score = 0;
    // Whether the score allows for the requests that other entries send meanwhile.
    bool isLoadShared = false;
    // Whether other groups should be preferred. See group_shift.h.
    bool isGroupAvoided = false;
    // Whether the request has been tried there before.
    bool isTried = false;
};

// Compares runners; the lowest score is the best. `load` is the number of requests on the runner, and `groupPassMs` the mean duration of
// the passes of its group, 0 if unknown.
//
// Handles runners that are slow or fail in part: their requests weigh more than those of others, so that they get fewer.
double runnerScore(const runner_record&, double load, double groupPassMs);

// Returns the best candidate, one that has been tried before only if there is no other, or nullptr if there are none. `sampleSize` is
// the mean number of candidates that are compared with each other when nothing is known of the other entries' requests: if all
// entries compared all runners, they would choose the same one. `random` returns a number in [0, 1).
const runner_record* chooseRunner(const std::vector<runner_candidate>&, std::size_t sampleSize, const std::function<double()>& random);

}
