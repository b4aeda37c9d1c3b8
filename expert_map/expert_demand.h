#pragma once

#include "state/time.h"

#include <cstdint>
#include <vector>

namespace sardinelb {

struct scaled_choices;

// Estimates how often each expert of each set is chosen, from the counts of all ranks. Recent choices weigh most,
// since demand shifts within seconds; a long-term average is mixed in, because much of the demand does not depend on the
// content of the requests. Pure state machine.
class expert_demand {
public:
    expert_demand(std::uint32_t sets, std::uint32_t experts);

    // Adds how often some ranks chose each expert since their last report. Ignored if the size does not match.
    void report(const scaled_choices&, time_point now);

    // Share of the traffic by set and expert; each set sums to 1. Equal shares while nothing is known.
    std::vector<std::vector<double>> popularity() const;

    // Number of choices in the recent estimate, after decay.
    double recentChoices() const { return m_recentTotal; }

private:
    void decay(time_point now);

    std::uint32_t m_sets;
    std::uint32_t m_experts;
    std::vector<double> m_recent;
    std::vector<double> m_longTerm;
    double m_recentTotal = 0;
    time_point m_decayedAt;
};

}
