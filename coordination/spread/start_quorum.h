#pragma once

#include "state/ids.h"

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace sardinelb {

// Counts which entries of a zone have said what version they have, in one round of questions. A daemon that starts
// without the table may serve once a majority of the entries of its zone has answered in one round and it holds the
// highest of their versions: an accepted change is held by a majority, and any two majorities intersect. Answers of
// earlier rounds do not count, because changes may have been accepted since.
class start_quorum {
public:
    // What one entry has said.
    struct answer {
        daemon_id entry;
        config_version version;
    };

    // Sets the entries of the zone. `self` is one of them when the daemon is an entry; it never answers itself.
    void setEntries(std::vector<daemon_id> entries, const daemon_id& self);

    // Begins a round; earlier answers no longer count.
    void beginRound() { m_answers.clear(); }

    // Entries that have not answered in this round.
    std::vector<daemon_id> unanswered() const;

    void answered(const daemon_id& entry, config_version);

    // Highest version among the answers of this round, when they are from a majority.
    std::optional<config_version> requiredVersion() const;

    // Draws one of the answers with the highest version in this round, if there is any, so that daemons that start
    // together do not all fetch from the same entry.
    std::optional<answer> drawBest(std::mt19937_64&) const;

private:
    std::size_t m_entryCount = 0;
    std::vector<daemon_id> m_others;
    std::map<daemon_id, config_version> m_answers;
};

}
