#include "coordination/queueing/length_profile.h"

#include <algorithm>
#include <cmath>

namespace sardinelb {

namespace {

// An attempt is long above this multiple of the geometric mean. The geometric mean hardly moves with a few very long
// attempts, so that these stay long however long they are.
constexpr double longFactor = 3;
// Attempts that the mean reaches back.
constexpr std::uint64_t averagedAttempts = 256;
constexpr double highQuantile = 0.8;
// Step of the quantile estimates, in units of the logarithm.
constexpr double quantileStep = 0.04;
// Bounds of the estimates; e^-3 is a twentieth, and e^2 about seven times the expected length.
constexpr double lowestRatioLog = -3;
constexpr double highestRatioLog = 2;

// Moves the estimate of a quantile by one sample.
double movedQuantile(double estimate, double sample, double quantile)
{
    const double step = sample > estimate ? quantile : quantile - 1;
    return std::clamp(estimate + quantileStep * step, lowestRatioLog, highestRatioLog);
}

double logOf(std::int64_t tokens) { return std::log(static_cast<double>(std::max<std::int64_t>(1, tokens))); }

}

void length_profile::expected(std::int64_t tokens)
{
    if (m_finished == 0 && tokens > 0)
        learnLength(tokens);
}

void length_profile::onAttemptFinished(std::int64_t expectedTokens, std::int64_t actualTokens)
{
    if (expectedTokens <= 0 || actualTokens <= 0)
        return;
    if (m_finished++ == 0)
        m_lengths = 0;
    learnLength(actualTokens);
    const double ratioLog = logOf(actualTokens) - logOf(expectedTokens);
    m_medianRatioLog = movedQuantile(m_medianRatioLog, ratioLog, 0.5);
    m_highRatioLog = movedQuantile(m_highRatioLog, ratioLog, highQuantile);
    m_medianRatio = std::exp(m_medianRatioLog);
    m_highRatio = std::exp(std::max(m_medianRatioLog, m_highRatioLog));
}

bool length_profile::isLong(std::int64_t expectedTokens, std::int64_t generatedTokens) const
{
    return std::max(typicalTokens(expectedTokens), static_cast<double>(generatedTokens)) > m_longAbove;
}

double length_profile::typicalTokens(std::int64_t expectedTokens) const
{
    return static_cast<double>(expectedTokens) * m_medianRatio;
}

double length_profile::highQuantileTokens(std::int64_t expectedTokens) const
{
    return static_cast<double>(expectedTokens) * m_highRatio;
}

void length_profile::learnLength(std::int64_t tokens)
{
    m_lengths = std::min(m_lengths + 1, averagedAttempts);
    m_meanLog += (logOf(tokens) - m_meanLog) / static_cast<double>(m_lengths);
    m_longAbove = longFactor * std::exp(m_meanLog);
}

}
