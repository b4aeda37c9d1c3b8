#pragma once

#include "coordination/entry/failed_attempt.h"
#include "coordination/entry/retry_decision.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <memory>

namespace sardinelb {

struct derived_limits;

// Decides whether a failed attempt is followed by another one. Only idempotent requests and requests that surely
// were not run are tried again, within budgets per team and for all teams together, with jittered delays. What a
// draining runner refused is tried again outside the budgets.
// Pure state machine; not safe for use from several threads.
class retry_policy {
public:
    explicit retry_policy(std::uint64_t seed);
    ~retry_policy();
    retry_policy(retry_policy&&) noexcept;
    retry_policy& operator=(retry_policy&&) noexcept;

    // Earns the retry budget that a new request brings.
    void onRequestAccepted(const team_id&, const derived_limits&, time_point now);

    retry_decision decide(const failed_attempt&, time_point now);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

}
