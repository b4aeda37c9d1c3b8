#pragma once

#include "coordination/queueing/recent_map.h"
#include "coordination/queueing/request_cost.h"
#include "state/ids.h"
#include "state/units.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace sardinelb {

struct token_usage;

// Estimates what a request will cost, before it runs, from the size of its prompt, the caller's bound on completion
// tokens, and the usage of earlier requests of the same team and model. Callers that set different bounds want answers
// of different lengths, so lengths are learned by order of magnitude of the bound. Memory is bounded.
// Pure state machine; not safe for use from several threads.
class cost_estimator {
public:
    cost_estimator();

    // The completion tokens are never above the bound.
    request_cost estimate(const team_id&, const model_id&, byte_count promptSize, token_count bound) const;

    // Learns from a request that ran to its end.
    void observe(const team_id&, const model_id&, byte_count promptSize, token_count bound, const token_usage&);

private:
    static constexpr std::size_t boundClasses = 4;

    // Moving average of one quantity.
    struct moving_mean {
        double mean = 0;
        std::uint32_t count = 0;
    };

    // What is known of one model, or of one team's use of it.
    struct usage_profile {
        std::array<moving_mean, boundClasses> completionTokens;
        moving_mean bytesPerToken;
    };

    static std::size_t boundClassOf(token_count bound);
    static void learn(usage_profile&, byte_count promptSize, token_count bound, const token_usage&);
    static double blend(const moving_mean&, double prior);

    recent_map<std::uint64_t, usage_profile> m_byTeamAndModel;
    recent_map<std::uint64_t, usage_profile> m_byModel;
};

}
