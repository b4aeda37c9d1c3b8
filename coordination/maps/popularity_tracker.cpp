#include "coordination/maps/popularity_tracker.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <string>
#include <utility>

namespace sardinelb {

namespace {

constexpr int samplesPerHalfLife = 8;

// Half-life of the long-term popularity, as a multiple of the tracker's half-life.
constexpr double longTermHalfLives = 8;

// Minimum number of tokens per expert in a sample. With little traffic, a shorter sample would be dominated by chance.
constexpr double minimumTokensPerExpert = 100;

// Weight of a new sample in the smoothed variance, which is about the mean of the last 20 samples.
constexpr double varianceWeight = 0.05;

// Maximum change of an expert's popularity by extrapolated drift, as a fraction of the popularity.
constexpr double maxExtrapolation = 0.5;

std::vector<double> scaledToOne(std::vector<double> values)
{
    const double sum = std::accumulate(values.begin(), values.end(), 0.0);
    for (double& value : values)
        value /= sum;
    return values;
}

void smooth(std::vector<double>& smoothed, const std::vector<double>& values, double weight)
{
    for (std::size_t index = 0; index < values.size(); ++index)
        smoothed[index] += weight * (values[index] - smoothed[index]);
}

std::uint64_t total(const popularity_report& report)
{
    return std::accumulate(report.tokens.begin(), report.tokens.end(), std::uint64_t {});
}

bool isOlder(const popularity_report& report, const popularity_report& known)
{
    if (report.rankIncarnation != known.rankIncarnation)
        return report.rankIncarnation < known.rankIncarnation;
    return total(report) < total(known);
}

}

popularity_tracker::popularity_tracker(std::uint32_t expertCount, duration halfLife)
    : m_halfLife(halfLife)
    , m_sample(expertCount)
{
}

coordination_result<void> popularity_tracker::report(const popularity_report& report, time_point now)
{
    if (report.tokens.size() != m_sample.size())
        return coordination_error { coordination_errc::Invalid, "rank " + std::to_string(report.rank.value()),
            "report has token counts of " + std::to_string(report.tokens.size()) + " experts instead of "
                + std::to_string(m_sample.size()) };
    if (m_reports.empty())
        m_sampleStartedAt = now;
    const auto [known, isNew] = m_reports.try_emplace(report.rank, report);
    if (isNew || isOlder(report, known->second))
        return boost::outcome_v2::success();
    const popularity_report before = std::exchange(known->second, report);
    if (report.rankIncarnation == before.rankIncarnation)
        addTokens(report, before);
    if (isSampleComplete(now))
        closeSample(now);
    return boost::outcome_v2::success();
}

std::vector<double> popularity_tracker::popularity() const
{
    if (m_smoothed.empty())
        return scaledToOne(std::vector<double>(m_sample.size(), 1));
    std::vector<double> fractions = m_smoothed;
    for (std::size_t expert = 0; expert < fractions.size(); ++expert) {
        const double limit = maxExtrapolation * m_smoothed[expert];
        fractions[expert] += std::clamp(m_smoothed[expert] - m_smoothedTwice[expert], -limit, limit);
    }
    return scaledToOne(std::move(fractions));
}

std::vector<double> popularity_tracker::longTermPopularity() const
{
    return scaledToOne(m_longTerm.empty() ? std::vector<double>(m_sample.size(), 1) : m_longTerm);
}

double popularity_tracker::noise() const
{
    if (!m_variance)
        return std::numeric_limits<double>::infinity();
    // Variance of the level in double exponential smoothing, from that of a sample (R. G. Brown, 1963).
    const double kept = 1 - m_weight;
    return std::sqrt(*m_variance * m_weight * (1 + 4 * kept + 5 * kept * kept) / std::pow(1 + kept, 3));
}

void popularity_tracker::addTokens(const popularity_report& report, const popularity_report& before)
{
    for (std::size_t expert = 0; expert < m_sample.size(); ++expert)
        if (report.tokens[expert] > before.tokens[expert])
            m_sample[expert] += static_cast<double>(report.tokens[expert] - before.tokens[expert]);
}

bool popularity_tracker::isSampleComplete(time_point now) const
{
    const double tokens = std::accumulate(m_sample.begin(), m_sample.end(), 0.0);
    return now >= m_sampleStartedAt + m_halfLife / samplesPerHalfLife
        && tokens >= minimumTokensPerExpert * static_cast<double>(m_sample.size());
}

void popularity_tracker::closeSample(time_point now)
{
    const std::vector<double> fractions = scaledToOne(m_sample);
    const std::chrono::duration<double> length = now - m_sampleStartedAt;
    m_weight = 1 - std::exp2(-length / std::chrono::duration<double>(m_halfLife));
    if (m_smoothed.empty()) {
        m_smoothed = fractions;
        m_smoothedTwice = fractions;
        m_longTerm = fractions;
    } else {
        smooth(m_smoothed, fractions, m_weight);
        smooth(m_smoothedTwice, m_smoothed, m_weight);
        smooth(m_longTerm, fractions, m_weight / longTermHalfLives);
        addVariance(fractions);
    }
    m_previous = fractions;
    m_sampleStartedAt = now;
    std::ranges::fill(m_sample, 0);
}

// Uses the difference between successive samples, which hardly depends on drift, unlike that between a sample and the
// mean.
void popularity_tracker::addVariance(const std::vector<double>& fractions)
{
    double variance = 0;
    for (std::size_t expert = 0; expert < fractions.size(); ++expert)
        if (m_smoothed[expert] > 0)
            variance += std::pow(fractions[expert] - m_previous[expert], 2) / m_smoothed[expert] / 2;
    m_variance = m_variance ? *m_variance + varianceWeight * (variance - *m_variance) : variance;
}

}
