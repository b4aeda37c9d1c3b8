#include "coordination/queueing/cost_estimator.h"

#include "coordination/queueing/token_usage.h"
#include "state/name_digest.h"

#include <algorithm>
#include <cmath>

namespace sardinelb {

namespace {

// Above 12,000 teams times 3 models. Some 6 MB when full; 36,000 profiles were measured to take 5.5 MB.
constexpr std::size_t teamProfilesKept = 40960;
constexpr std::size_t modelProfilesKept = 64;
// Requests that an average reaches back.
constexpr std::uint32_t averagedRequests = 64;
// Requests of a team that count as much as what is known of the model as a whole.
constexpr double priorRequests = 4;
// Before anything is known: a bound is mostly far above the answer, and English text has some 4 bytes per token.
constexpr double firstCompletionTokens = 256;
constexpr double firstBytesPerToken = 4;
// Upper ends of all but the last class of bounds.
constexpr std::array<std::int64_t, 3> boundClassEnds { 64, 512, 4096 };

std::uint64_t keyOf(const model_id& model) { return nameDigest(model.value()); }

std::uint64_t keyOf(const team_id& team, const model_id& model) { return nameDigest(team.value(), keyOf(model)); }

}

cost_estimator::cost_estimator()
    : m_byTeamAndModel(teamProfilesKept)
    , m_byModel(modelProfilesKept)
{
}

request_cost cost_estimator::estimate(
    const team_id& team, const model_id& model, byte_count promptSize, token_count bound) const
{
    static const usage_profile unknown;
    const usage_profile* ofTeam = m_byTeamAndModel.find(keyOf(team, model));
    const usage_profile* ofModel = m_byModel.find(keyOf(model));
    const usage_profile& teamProfile = ofTeam ? *ofTeam : unknown;
    const usage_profile& modelProfile = ofModel ? *ofModel : unknown;

    const std::size_t boundClass = boundClassOf(bound);
    const double lengthPrior = blend(modelProfile.completionTokens[boundClass], firstCompletionTokens);
    const double length = blend(teamProfile.completionTokens[boundClass], lengthPrior);
    const double bytesPrior = blend(modelProfile.bytesPerToken, firstBytesPerToken);
    const double bytesPerToken = std::max(1e-3, blend(teamProfile.bytesPerToken, bytesPrior));

    const std::int64_t highest = std::max<std::int64_t>(0, bound.value());
    const std::int64_t completion = std::clamp<std::int64_t>(std::llround(length), std::min<std::int64_t>(1, highest), highest);
    const auto prompt = static_cast<std::int64_t>(std::ceil(static_cast<double>(promptSize.value()) / bytesPerToken));
    return { token_count(std::max<std::int64_t>(0, prompt)), token_count(completion) };
}

void cost_estimator::observe(const team_id& team, const model_id& model, byte_count promptSize, token_count bound,
    const token_usage& usage)
{
    learn(m_byTeamAndModel.touch(keyOf(team, model)), promptSize, bound, usage);
    learn(m_byModel.touch(keyOf(model)), promptSize, bound, usage);
}

std::size_t cost_estimator::boundClassOf(token_count bound)
{
    const auto end = std::lower_bound(boundClassEnds.begin(), boundClassEnds.end(), bound.value());
    return static_cast<std::size_t>(end - boundClassEnds.begin());
}

void cost_estimator::learn(
    usage_profile& profile, byte_count promptSize, token_count bound, const token_usage& usage)
{
    const auto update = [](moving_mean& average, double sample) {
        average.count = std::min(average.count + 1, averagedRequests);
        average.mean += (sample - average.mean) / average.count;
    };
    update(profile.completionTokens[boundClassOf(bound)], static_cast<double>(usage.completionTokens.value()));
    if (usage.promptTokens.value() > 0)
        update(profile.bytesPerToken,
            static_cast<double>(promptSize.value()) / static_cast<double>(usage.promptTokens.value()));
}

double cost_estimator::blend(const moving_mean& average, double prior)
{
    return (average.mean * average.count + prior * priorRequests) / (average.count + priorRequests);
}

}
