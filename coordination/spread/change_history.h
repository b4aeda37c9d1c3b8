#pragma once

#include "state/configuration_change.h"
#include "state/ids.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace sardinelb {

// The most recent changes of a configuration, without gaps and bounded in number and size.
class change_history {
public:
    change_history(std::size_t maxChanges, std::size_t maxBytes);

    // Drops all changes. The next change to be added follows the given version.
    void restart(config_version);

    // Appends the change that follows the newest one, and drops the oldest ones beyond the bounds.
    void add(const configuration_change&);

    // Version before the oldest available change.
    config_version baseVersion() const { return m_baseVersion; }

    // Whether all changes after the version are available.
    bool hasAllAfter(config_version version) const { return version >= m_baseVersion; }

    // Returns the change with the version, or nullptr if it is not available.
    const configuration_change* find(config_version) const;

    // Changes after the version in order: at least one, and more up to `maxBytes`. Empty if they are not all available.
    std::vector<configuration_change> changesAfter(config_version, std::size_t maxBytes) const;

private:
    struct sized_change {
        configuration_change change;
        std::size_t bytes;
    };

    std::size_t m_maxChanges;
    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    config_version m_baseVersion;
    std::deque<sized_change> m_changes;
};

// Approximate size of a change in a message.
std::size_t approximateMessageBytes(const configuration_change&);

}
