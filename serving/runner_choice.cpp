#include "serving/runner_choice.h"

#include <algorithm>
#include <limits>

namespace sardinelb {

namespace {

// Weight of the failure rate in the score: a runner that fails every second request counts as nine times as loaded as a
// healthy one.
constexpr double failurePenalty = 16;

// Passes up to this duration do not raise the score of a group.
constexpr double neutralPassMs = 60;

// Score penalties that rank a runner behind all sampled ones, behind those of other groups, and behind all others.
constexpr double unsampledPenalty = 1e5;
constexpr double avoidedGroupPenalty = 1e6;
constexpr double triedPenalty = 1e7;

// Random part of a score. Scores that allow for the other entries differ enough, so that only ties are left to chance.
constexpr double randomPart = 0.2;
constexpr double tieBreakPart = 0.01;

}

double runnerScore(const runner_record& record, double load, double groupPassMs)
{
    const double pace = record.load ? std::max(1.0, record.load->pace) : 1.0;
    // All ranks of a group advance in lock-step, so a group with long passes is slow on each of its ranks.
    const double pass = std::max(1.0, groupPassMs / neutralPassMs);
    return (load + 1) * pace * pass * (1 + failurePenalty * record.failureRate) * (1 + record.responseMs / 1000);
}

const runner_record* chooseRunner(const std::vector<runner_candidate>& candidates, std::size_t sampleSize, const std::function<double()>& random)
{
    const double sampleProbability = static_cast<double>(sampleSize) / static_cast<double>(std::max<std::size_t>(candidates.size(), 1));
    const runner_record* best = nullptr;
    double bestScore = std::numeric_limits<double>::infinity();
    for (const runner_candidate& candidate : candidates) {
        double score = candidate.score;
        if (!candidate.isLoadShared && random() >= sampleProbability)
            score += unsampledPenalty;
        if (candidate.isGroupAvoided)
            score += avoidedGroupPenalty;
        if (candidate.isTried)
            score += triedPenalty;
        score *= 1 + (candidate.isLoadShared ? tieBreakPart : randomPart) * random();
        if (score < bestScore) {
            bestScore = score;
            best = candidate.record;
        }
    }
    return best;
}

}
