#pragma once

#include "state/time.h"

#include <cstdint>
#include <vector>

namespace sardinelb {

// Estimates how often each expert of each set is chosen, from the counts of all ranks. Recent choices weigh most,
// since demand moves within seconds; a part of the estimate is over a longer time, because much of the demand is common
// to all contents. Pure state machine.
class expert_demand {
public:
    expert_demand(std::uint32_t sets, std::uint32_t experts);

    // Takes how often a rank chose each expert since it last reported, set by set.
    void report(const std::vector<std::uint16_t>& choices, time_point now);

    // Parts of the traffic by set and expert; each set sums to 1. Equal parts while nothing is known.
    std::vector<std::vector<double>> popularity() const;

    // Choices that the recent estimate rests on.
    double recentChoices() const { return m_recentTotal; }

private:
    void decay(time_point now);

    std::uint32_t m_sets;
    std::uint32_t m_experts;
    std::vector<double> m_recent;
    std::vector<double> m_settled;
    double m_recentTotal = 0;
    time_point m_decayedAt;
};

}
