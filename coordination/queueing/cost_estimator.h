#pragma once

#include "coordination/queueing/lru_map.h"
#include "coordination/queueing/request_cost.h"
#include "state/ids.h"
#include "state/units.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace sardinelb {

struct token_usage;

// Estimates the cost of a request before it runs, from the size of its prompt, the caller's bound on completion tokens,
// and the usage of earlier requests of the same team and model. Callers that set different bounds expect answers of
// different lengths, so lengths are averaged separately for each order of magnitude of the bound. Memory is bounded.
// Pure state machine; not thread-safe.
class cost_estimator {
public:
    cost_estimator();

    // The estimated completion tokens never exceed the bound.
    request_cost estimate(const team_id&, const model_id&, byte_count promptSize, token_count bound) const;

    // Updates the averages with the usage of a completed request.
    void observe(const team_id&, const model_id&, byte_count promptSize, token_count bound, const token_usage&);

private:
    static constexpr std::size_t boundClasses = 4;

    // Moving average over recent requests.
    struct moving_mean {
        double mean = 0;
        std::uint32_t count = 0;
    };

    // Averages for one model, or for one team's use of it.
    struct usage_profile {
        std::array<moving_mean, boundClasses> completionTokens;
        moving_mean bytesPerToken;
    };

    static std::size_t boundClassOf(token_count bound);
    static void update(usage_profile&, byte_count promptSize, token_count bound, const token_usage&);
    static double blendWithPrior(const moving_mean&, double prior);

    lru_map<std::uint64_t, usage_profile> m_byTeamAndModel;
    lru_map<std::uint64_t, usage_profile> m_byModel;
};

}
