#pragma once

#include "coordination/coordination_error.h"
#include "coordination/maps/map_decision.h"
#include "coordination/maps/map_proposal.h"
#include "state/ids.h"
#include "state/table_row.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace sardinelb {

// The proposals and decisions of a group that one process knows. The rows never change and a proposal is written only
// when the one before it is decided, so knowledge from several reads and messages can be joined in any order.
class map_history {
public:
    // Adds a row read from the table; rows of other kinds are ignored. Error Invalid, naming the key.
    coordination_result<void> addRow(const group_id&, const table_row&);

    void addProposal(const map_proposal&, row_revision);

    // Adds a decision. The revision is 0 when it was learned from a message.
    void addDecision(const map_decision&, row_revision);

    // Whether the decision of every proposal but the newest, and the proposal of every commit, is known. Obsolete
    // versions do not count; their rows may be deleted while the history is read.
    bool isComplete() const;

    // Version of the newest proposal, or 0 when there is none.
    map_version newestVersion() const;

    // The newest proposal if its decision is not known, else nothing.
    const map_proposal* undecided() const;

    // The map that all ranks use in the step: the newest committed one whose first step is not later. Nothing when
    // there is none. The pointers stay valid until the history changes.
    const map_proposal* committedFor(step_number) const;

    const map_proposal* newestCommitted() const;
    const map_proposal* proposalOf(map_version) const;
    std::optional<map_decision> decisionOf(map_version) const;
    std::optional<map_decision> newestDecision() const;

    // Revision of a row; 0 when the row is not known from the table.
    row_revision proposalRevision(map_version) const;
    row_revision decisionRevision(map_version) const;

    // Versions that no rank can need any more: those older than the two newest commits. A commit is proposed only when
    // the group has entered the first step of the commit before it.
    std::vector<map_version> obsolete() const;
    void removeObsolete();

private:
    struct known_version {
        std::optional<map_proposal> proposal;
        row_revision proposalRevision;
        std::optional<map_decision> decision;
        row_revision decisionRevision;

        bool isCommitted() const { return decision && decision->outcome == map_outcome::Commit; }
    };

    const known_version* find(map_version) const;

    // Newest first.
    std::map<map_version, known_version, std::greater<>> m_versions;
};

}
