#include "coordination/queueing/length_profile.h"

#include <algorithm>
#include <cmath>

namespace sardinelb {

namespace {

// An attempt is long above this multiple of the geometric mean. A few very long attempts hardly change the geometric
// mean, so they remain classified as long whatever their length.
constexpr double longThresholdFactor = 3;
// Number of recent attempts in the moving average.
constexpr std::uint64_t averagingWindowAttempts = 256;
constexpr double highQuantile = 0.8;
// Step of the quantile estimates, in natural logarithms of the ratio.
constexpr double quantileStep = 0.04;
// Bounds of the quantile estimates: e^-3 is a twentieth of the expected length, e^2 about seven times it.
constexpr double minRatioLog = -3;
constexpr double maxRatioLog = 2;

// Updates a quantile estimate with one sample.
double updatedQuantile(double estimate, double sample, double quantile)
{
    const double step = sample > estimate ? quantile : quantile - 1;
    return std::clamp(estimate + quantileStep * step, minRatioLog, maxRatioLog);
}

double logOf(std::int64_t tokens) { return std::log(static_cast<double>(std::max<std::int64_t>(1, tokens))); }

}

void length_profile::onAttemptAdmitted(std::int64_t tokens)
{
    if (m_finishedCount == 0 && tokens > 0)
        updateMeanLength(tokens);
}

void length_profile::onAttemptFinished(std::int64_t expectedTokens, std::int64_t actualTokens)
{
    if (expectedTokens <= 0 || actualTokens <= 0)
        return;
    if (m_finishedCount++ == 0)
        m_lengthSamples = 0;
    updateMeanLength(actualTokens);
    const double ratioLog = logOf(actualTokens) - logOf(expectedTokens);
    m_medianRatioLog = updatedQuantile(m_medianRatioLog, ratioLog, 0.5);
    m_highRatioLog = updatedQuantile(m_highRatioLog, ratioLog, highQuantile);
    m_medianRatio = std::exp(m_medianRatioLog);
    m_highRatio = std::exp(std::max(m_medianRatioLog, m_highRatioLog));
}

bool length_profile::isLong(std::int64_t expectedTokens, std::int64_t generatedTokens) const
{
    return std::max(typicalTokens(expectedTokens), static_cast<double>(generatedTokens)) > m_longThresholdTokens;
}

double length_profile::typicalTokens(std::int64_t expectedTokens) const
{
    return static_cast<double>(expectedTokens) * m_medianRatio;
}

double length_profile::highQuantileTokens(std::int64_t expectedTokens) const
{
    return static_cast<double>(expectedTokens) * m_highRatio;
}

void length_profile::updateMeanLength(std::int64_t tokens)
{
    m_lengthSamples = std::min(m_lengthSamples + 1, averagingWindowAttempts);
    m_meanLog += (logOf(tokens) - m_meanLog) / static_cast<double>(m_lengthSamples);
    m_longThresholdTokens = longThresholdFactor * std::exp(m_meanLog);
}

}
