#pragma once

#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace sardinelb {

// Estimates how often each expert of each set is chosen, from the running counts of all ranks. Recent choices weigh most,
// since demand moves within seconds; a part of the estimate is over a longer time, because much of the demand is common
// to all contents. Pure state machine.
class expert_demand {
public:
    expert_demand(std::uint32_t sets, std::uint32_t experts);

    // Takes the counts of one rank since its start, set by set. The first ones of a rank and those that fall only set
    // the point from which it counts.
    void report(rank_id, const std::vector<std::uint32_t>& counts, time_point now);

    // Parts of the traffic by set and expert; each set sums to 1. Equal parts while nothing is known.
    std::vector<std::vector<double>> popularity() const;

    // Choices that the recent estimate rests on.
    double recentChoices() const { return m_recentTotal; }

private:
    void decay(time_point now);

    std::uint32_t m_sets;
    std::uint32_t m_experts;
    std::map<rank_id, std::vector<std::uint32_t>> m_last;
    std::vector<double> m_recent;
    std::vector<double> m_settled;
    double m_recentTotal = 0;
    time_point m_decayedAt;
};

}
