#pragma once

#include "coordination/entry/failed_attempt.h"
#include "coordination/entry/retry_decision.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <memory>

namespace sardinelb {

struct derived_limits;

// Decides whether a failed attempt is followed by another one. Only idempotent requests and requests that are known not
// to have run are retried, with jittered delays and within a budget per team and one for all teams. Retries after the
// refusal of a draining runner are not charged to the budgets. Pure state machine; not thread-safe.
class retry_policy {
public:
    explicit retry_policy(std::uint64_t seed);
    ~retry_policy();
    retry_policy(retry_policy&&) noexcept;
    retry_policy& operator=(retry_policy&&) noexcept;

    // Adds a new request's contribution to the retry budgets.
    void onRequestAccepted(const team_id&, const derived_limits&, time_point now);

    retry_decision decide(const failed_attempt&, time_point now);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

}
