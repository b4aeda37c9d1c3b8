#pragma once

#include "state/ids.h"

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace sardinelb {

// Collects the versions that the entries of a zone report in one round of queries. A daemon that starts without the
// table may serve once a majority of the entries of its zone has answered in one round and it has the highest of their
// versions: a majority has every accepted change, and any two majorities intersect. Answers of earlier rounds do not
// count, because changes may have been accepted since.
class start_quorum {
public:
    // Version reported by one entry.
    struct answer {
        daemon_id entry;
        config_version version;
    };

    // Sets the entries of the zone. If `self` is one of them, it counts towards the majority's size but is not queried.
    void setEntries(std::vector<daemon_id> entries, const daemon_id& self);

    // Starts a round and discards earlier answers.
    void beginRound() { m_answers.clear(); }

    // Entries that have not answered in this round.
    std::vector<daemon_id> unansweredEntries() const;

    void onAnswer(const daemon_id& entry, config_version);

    // Highest version reported in this round, once a majority has answered.
    std::optional<config_version> requiredVersion() const;

    // Picks a random answer with the highest version in this round, if there is any, so that daemons that start
    // together do not all fetch from the same entry.
    std::optional<answer> drawBest(std::mt19937_64&) const;

private:
    std::size_t m_entryCount = 0;
    std::vector<daemon_id> m_otherEntries;
    std::map<daemon_id, config_version> m_answers;
};

}
