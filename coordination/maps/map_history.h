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

// The proposals and decisions of a group that one process knows. Results of several reads and messages can be merged in
// any order, because the rows are never modified and a proposal is written only after the previous one is decided.
class map_history {
public:
    // Adds a row read from the table; rows of other kinds are ignored. Error Invalid: the row cannot be parsed.
    // `subject` is its key.
    coordination_result<void> addRow(const group_id&, const table_row&);

    void addProposal(const map_proposal&, row_revision);

    // Adds a decision. Revision 0 means that it was received in a message.
    void addDecision(const map_decision&, row_revision);

    // Whether the decision of every proposal but the newest, and the proposal of every commit, is known. Obsolete
    // versions are not required, because their rows may be deleted while the history is read.
    bool isComplete() const;

    // Version of the newest proposal, or 0 if there is none.
    map_version newestVersion() const;

    // The newest proposal if its decision is not known, else null.
    const map_proposal* undecidedProposal() const;

    // The map that all ranks use in the step: the newest committed one whose first step is at most this step. Null if
    // there is none. The pointers stay valid until the history changes.
    const map_proposal* committedProposalFor(step_number) const;

    const map_proposal* newestCommittedProposal() const;
    const map_proposal* proposalOf(map_version) const;
    std::optional<map_decision> decisionOf(map_version) const;
    std::optional<map_decision> newestDecision() const;

    // Revision of the row; 0 if the row has not been read from the table.
    row_revision proposalRevision(map_version) const;
    row_revision decisionRevision(map_version) const;

    // Versions that no rank can need any more: those older than the two newest commits. Two commits suffice because a
    // new map is proposed only after the group has entered the first step of the last committed one.
    std::vector<map_version> obsoleteVersions() const;
    void removeObsolete();

private:
    struct version_state {
        std::optional<map_proposal> proposal;
        row_revision proposalRevision;
        std::optional<map_decision> decision;
        row_revision decisionRevision;

        bool isCommitted() const { return decision && decision->outcome == map_outcome::Commit; }
    };

    const version_state* find(map_version) const;

    // Newest first.
    std::map<map_version, version_state, std::greater<>> m_versions;
};

}
