#pragma once

#include "state/configuration_change.h"
#include "state/ids.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace sardinelb {

// The most recent changes of a configuration, without a gap, within bounds on their number and size.
class change_history {
public:
    change_history(std::size_t maxChanges, std::size_t maxBytes);

    // Forgets all changes; the next one follows `version`.
    void restart(config_version);

    // Adds the change after the newest one, and forgets the oldest ones beyond the bounds.
    void add(const configuration_change&);

    // Whether all changes after the version are known.
    bool covers(config_version after) const { return after >= m_base; }

    // Changes after the version, in order, up to the number of bytes but at least one.
    std::vector<configuration_change> after(config_version, std::size_t maxBytes) const;

private:
    struct sized_change {
        configuration_change change;
        std::size_t bytes;
    };

    std::size_t m_maxChanges;
    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    // Version before the oldest known change.
    config_version m_base;
    std::deque<sized_change> m_changes;
};

// Approximate number of bytes of a change in a message.
std::size_t messageBytes(const configuration_change&);

}
