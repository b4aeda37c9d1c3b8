#include "coordination/queueing/cost_estimator.h"

#include "coordination/queueing/token_usage.h"
#include "state/name_digest.h"

#include <algorithm>
#include <cmath>

namespace sardinelb {

namespace {

// Enough for 12,000 teams with 3 models each. Takes about 6 MB when full; 36,000 profiles took 5.5 MB.
constexpr std::size_t maxTeamProfiles = 40960;
constexpr std::size_t maxModelProfiles = 64;
// Number of recent requests in a moving average.
constexpr std::uint32_t averagingWindowRequests = 64;
// Weight of a prior, in requests: after this many, a team's own average counts as much as the model's average.
constexpr double priorWeightRequests = 4;
// Used without any observations. Callers mostly set a bound far above the length of the answer, and English text has
// about 4 bytes per token.
constexpr double defaultCompletionTokens = 256;
constexpr double defaultBytesPerToken = 4;
// Inclusive upper limits of all but the last class of bounds, in tokens.
constexpr std::array<std::int64_t, 3> boundClassLimits { 64, 512, 4096 };

std::uint64_t keyOf(const model_id& model) { return nameDigest(model.value()); }

std::uint64_t keyOf(const team_id& team, const model_id& model) { return nameDigest(team.value(), keyOf(model)); }

}

cost_estimator::cost_estimator()
    : m_byTeamAndModel(maxTeamProfiles)
    , m_byModel(maxModelProfiles)
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
    const double lengthPrior = blendWithPrior(modelProfile.completionTokens[boundClass], defaultCompletionTokens);
    const double length = blendWithPrior(teamProfile.completionTokens[boundClass], lengthPrior);
    const double bytesPrior = blendWithPrior(modelProfile.bytesPerToken, defaultBytesPerToken);
    const double bytesPerToken = std::max(1e-3, blendWithPrior(teamProfile.bytesPerToken, bytesPrior));

    const std::int64_t highest = std::max<std::int64_t>(0, bound.value());
    const std::int64_t completion = std::clamp<std::int64_t>(std::llround(length), std::min<std::int64_t>(1, highest), highest);
    const auto prompt = static_cast<std::int64_t>(std::ceil(static_cast<double>(promptSize.value()) / bytesPerToken));
    return { token_count(std::max<std::int64_t>(0, prompt)), token_count(completion) };
}

void cost_estimator::observe(const team_id& team, const model_id& model, byte_count promptSize, token_count bound,
    const token_usage& usage)
{
    update(m_byTeamAndModel.touch(keyOf(team, model)), promptSize, bound, usage);
    update(m_byModel.touch(keyOf(model)), promptSize, bound, usage);
}

std::size_t cost_estimator::boundClassOf(token_count bound)
{
    const auto end = std::lower_bound(boundClassLimits.begin(), boundClassLimits.end(), bound.value());
    return static_cast<std::size_t>(end - boundClassLimits.begin());
}

void cost_estimator::update(
    usage_profile& profile, byte_count promptSize, token_count bound, const token_usage& usage)
{
    const auto addSample = [](moving_mean& average, double sample) {
        average.count = std::min(average.count + 1, averagingWindowRequests);
        average.mean += (sample - average.mean) / average.count;
    };
    addSample(profile.completionTokens[boundClassOf(bound)], static_cast<double>(usage.completionTokens.value()));
    if (usage.promptTokens.value() > 0)
        addSample(profile.bytesPerToken,
            static_cast<double>(promptSize.value()) / static_cast<double>(usage.promptTokens.value()));
}

double cost_estimator::blendWithPrior(const moving_mean& average, double prior)
{
    return (average.mean * average.count + prior * priorWeightRequests) / (average.count + priorWeightRequests);
}

}
