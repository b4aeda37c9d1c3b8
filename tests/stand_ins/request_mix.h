#pragma once

#include "tests/stand_ins/load_request.h"

#include <vector>

namespace sardinelb::stand_ins {

struct load_plan;

// Returns all requests of the plan in the order of sending. Deterministic for a given plan. No two requests have the
// same prompt or the same booking body.
std::vector<load_request> requestMix(const load_plan&);

}
