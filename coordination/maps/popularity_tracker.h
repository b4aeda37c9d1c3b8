#pragma once

#include "coordination/coordination_error.h"
#include "coordination/maps/popularity_report.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sardinelb {

// Estimates the popularity of each expert of a group from the reports of its ranks. Tokens are counted in samples of at
// least an eighth of the half-life; the estimate is their double exponential smoothing, which follows a steady drift
// without lag. Pure state machine, not thread-safe.
class popularity_tracker {
public:
    // The weight of a sample halves every `halfLife`.
    popularity_tracker(std::uint32_t expertCount, duration halfLife);

    // Adds a report. The first report of an incarnation only sets the baseline from which its tokens are counted; a
    // report older than the last one is ignored. Error Invalid: the number of experts differs. `subject` names the
    // rank.
    coordination_result<void> report(const popularity_report&, time_point now);

    // Fraction of the traffic that goes to each expert; the sum is 1. All are equal until the first sample ends.
    std::vector<double> popularity() const;

    // The same, smoothed once with eight times the half-life and not corrected for drift. Nearly constant while the
    // traffic does not change.
    std::vector<double> longTermPopularity() const;

    // Relative standard error of the popularity of a typical expert, estimated from the differences of successive
    // samples. Infinite until that is known, which keeps the planner from replacing a map.
    double noise() const;

private:
    void addTokens(const popularity_report&, const popularity_report& before);
    bool isSampleComplete(time_point now) const;
    void closeSample(time_point now);
    void addVariance(const std::vector<double>& fractions);

    duration m_halfLife;
    // Last report of each rank.
    std::map<rank_id, popularity_report> m_reports;
    // Tokens of the current sample.
    std::vector<double> m_sample;
    time_point m_sampleStartedAt {};
    // Fractions of the traffic: in the previous sample, smoothed once, smoothed twice, and smoothed once over eight
    // half-lives. Empty before the first sample ends.
    std::vector<double> m_previous;
    std::vector<double> m_smoothed;
    std::vector<double> m_smoothedTwice;
    std::vector<double> m_longTerm;
    // Smoothing weight of the last sample.
    double m_weight = 0;
    // Variance of a sample, relative to the square of the popularity.
    std::optional<double> m_variance;
};

}
