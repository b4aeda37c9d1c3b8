#pragma once

#include <cstdint>
#include <limits>

namespace sardinelb {

// Learns from finished attempts which lengths count as long on one runner, and how actual lengths relate to expected
// ones.
class length_profile {
public:
    // Records the expected length of a new attempt. Used only until the first attempt has finished.
    void onAttemptAdmitted(std::int64_t tokens);

    // Records the expected and actual completion tokens of a finished attempt.
    void onAttemptFinished(std::int64_t expectedTokens, std::int64_t actualTokens);

    // Whether an attempt belongs to the long lane, given its expected length and the tokens generated so far. Uses the
    // median of actual over expected length, because expected lengths are means: a few very long attempts of a team
    // must not make its other attempts count as long.
    bool isLong(std::int64_t expectedTokens, std::int64_t generatedTokens) const;

    // Median actual length, in tokens, of attempts with this expected length.
    double typicalTokens(std::int64_t expectedTokens) const;

    // High quantile of the actual length, in tokens, of attempts with this expected length.
    double highQuantileTokens(std::int64_t expectedTokens) const;

private:
    void updateMeanLength(std::int64_t tokens);

    // Mean of the logarithms of lengths, and the length above which an attempt is long.
    double m_meanLog = 0;
    double m_longThresholdTokens = std::numeric_limits<double>::infinity();
    std::uint64_t m_lengthSamples = 0;
    std::uint64_t m_finishedCount = 0;
    // Logarithms of the median and of a high quantile of actual over expected length, and the ratios themselves.
    double m_medianRatioLog = 0;
    double m_highRatioLog = 0;
    double m_medianRatio = 1;
    double m_highRatio = 1;
};

}
