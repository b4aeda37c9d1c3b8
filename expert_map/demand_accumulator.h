#pragma once

#include <cstdint>
#include <vector>

namespace sardinelb {

// Choices of experts in units of `scale`, set by set, so that each fits into one byte.
struct scaled_choices {
    std::uint32_t scale = 1;
    std::vector<std::uint8_t> values;
};

// Sums how often each expert was chosen, on this rank and on the ranks whose reports this agent collects, until the sum is
// sent on. What a message rounds off stays for the next one. Pure state machine.
class demand_accumulator {
public:
    // Adds the difference between two readings of a rank's counters. A reading of another size starts anew.
    void addCounters(const std::vector<std::uint32_t>& before, const std::vector<std::uint32_t>& after);

    // Adds a report of another agent.
    void add(const scaled_choices&);

    // Returns the sum and keeps the remainder. Without values if nothing was chosen.
    scaled_choices take();

    void clear() { m_pending.clear(); }

private:
    void resize(std::size_t);

    std::vector<std::int64_t> m_pending;
};

}
