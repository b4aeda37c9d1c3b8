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

// Estimates the popularity of each expert of a group from the reports of its ranks. Tokens are counted in samples of an
// eighth of the half-life; the estimate is the mean of the samples, smoothed twice so that it follows a steady drift
// without lagging behind. Pure state machine; not safe for use from several threads.
class popularity_tracker {
public:
    // A sample weighs half as much after `halfLife`.
    popularity_tracker(std::uint32_t expertCount, duration halfLife);

    // Takes a report. The first one of an incarnation only sets the point from which its tokens count; a late one is
    // ignored. Error Invalid, naming the rank: the number of experts differs.
    coordination_result<void> report(const popularity_report&, time_point now);

    // Part of the traffic that goes to each expert; the sum is 1. All parts are equal until the first sample ends.
    std::vector<double> popularity() const;

    // The same over eight half-lives, without regard to drift. Where the traffic does not change, it hardly varies.
    std::vector<double> longTermPopularity() const;

    // Standard error of the popularity of a typical expert, as a part of it, from how much successive samples differ.
    // Infinite until that is known, which keeps the planner from replacing a map.
    double noise() const;

private:
    void add(const popularity_report&, const popularity_report& before);
    bool isSampleComplete(time_point now) const;
    void closeSample(time_point now);
    void addVariance(const std::vector<double>& parts);

    duration m_halfLife;
    // Last report of each rank.
    std::map<rank_id, popularity_report> m_reports;
    // Tokens of the current sample.
    std::vector<double> m_sample;
    time_point m_sampleStartedAt {};
    // Parts of the traffic in the previous sample, smoothed once and twice; empty before the first sample ends.
    std::vector<double> m_previous;
    std::vector<double> m_smoothed;
    std::vector<double> m_smoothedTwice;
    std::vector<double> m_settled;
    // Weight of the last sample in the smoothed values.
    double m_weight = 0;
    // Variance of a sample, relative to the square of the popularity.
    std::optional<double> m_variance;
};

}
