#pragma once

#include <cstdint>
#include <limits>

namespace sardinelb {

// Learns from finished attempts what counts as long on one runner, and how actual lengths compare with expected ones.
class length_profile {
public:
    // Notes the expected length of a new attempt. Only used until attempts have finished.
    void expected(std::int64_t tokens);

    // Notes an attempt that finished, with its expected and actual completion tokens.
    void onAttemptFinished(std::int64_t expectedTokens, std::int64_t actualTokens);

    // Whether an attempt belongs to the long lane, given its expected length and what it has generated so far. Expected
    // lengths are means; a few very long attempts of a team do not make its others long.
    bool isLong(std::int64_t expectedTokens, std::int64_t generatedTokens) const;

    // Length, in tokens, that an attempt exceeds about as often as not, given the expected length.
    double typicalTokens(std::int64_t expectedTokens) const;

    // Length that an attempt seldom exceeds, given the expected length.
    double highQuantileTokens(std::int64_t expectedTokens) const;

private:
    void learnLength(std::int64_t tokens);

    // Mean of the logarithm of lengths, and the length above which an attempt is long.
    double m_meanLog = 0;
    double m_longAbove = std::numeric_limits<double>::infinity();
    std::uint64_t m_lengths = 0;
    std::uint64_t m_finished = 0;
    // Logarithms of the median and of a high quantile of actual over expected length, and the factors themselves.
    double m_medianRatioLog = 0;
    double m_highRatioLog = 0;
    double m_medianRatio = 1;
    double m_highRatio = 1;
};

}
