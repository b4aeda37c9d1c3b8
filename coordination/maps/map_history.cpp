#include "coordination/maps/map_history.h"

#include "coordination/maps/map_rows.h"

#include <boost/outcome/try.hpp>

#include <algorithm>

namespace sardinelb {

coordination_result<void> map_history::addRow(const group_id& group, const table_row& row)
{
    if (isMapProposalKey(group, row.key)) {
        BOOST_OUTCOME_TRY(const auto proposal, parseMapProposal(row.key, row.value));
        addProposal(proposal, row.revision);
    } else if (isMapDecisionKey(group, row.key)) {
        BOOST_OUTCOME_TRY(const auto decision, parseMapDecision(row.key, row.value));
        addDecision(decision, row.revision);
    }
    return boost::outcome_v2::success();
}

void map_history::addProposal(const map_proposal& proposal, row_revision revision)
{
    version_state& known = m_versions[proposal.map->version];
    if (!known.proposal)
        known.proposal = proposal;
    known.proposalRevision = std::max(known.proposalRevision, revision);
}

void map_history::addDecision(const map_decision& decision, row_revision revision)
{
    version_state& known = m_versions[decision.version];
    known.decision = decision;
    known.decisionRevision = std::max(known.decisionRevision, revision);
}

bool map_history::isComplete() const
{
    const std::vector<map_version> ignored = obsoleteVersions();
    return std::ranges::all_of(m_versions, [&](const auto& entry) {
        const auto& [version, known] = entry;
        if (std::ranges::find(ignored, version) != ignored.end())
            return true;
        return known.decision ? !known.isCommitted() || known.proposal : version == newestVersion();
    });
}

map_version map_history::newestVersion() const
{
    return m_versions.empty() ? map_version() : m_versions.begin()->first;
}

const map_proposal* map_history::undecidedProposal() const
{
    if (m_versions.empty())
        return nullptr;
    const version_state& newest = m_versions.begin()->second;
    return newest.decision ? nullptr : &*newest.proposal;
}

const map_proposal* map_history::committedProposalFor(step_number step) const
{
    for (const auto& [version, known] : m_versions)
        if (known.isCommitted() && known.proposal && known.proposal->firstStep <= step)
            return &*known.proposal;
    return nullptr;
}

const map_proposal* map_history::newestCommittedProposal() const
{
    for (const auto& [version, known] : m_versions)
        if (known.isCommitted() && known.proposal)
            return &*known.proposal;
    return nullptr;
}

const map_proposal* map_history::proposalOf(map_version version) const
{
    const version_state* known = find(version);
    return known && known->proposal ? &*known->proposal : nullptr;
}

std::optional<map_decision> map_history::decisionOf(map_version version) const
{
    const version_state* known = find(version);
    return known ? known->decision : std::nullopt;
}

std::optional<map_decision> map_history::newestDecision() const
{
    for (const auto& [version, known] : m_versions)
        if (known.decision)
            return known.decision;
    return std::nullopt;
}

row_revision map_history::proposalRevision(map_version version) const
{
    const version_state* known = find(version);
    return known ? known->proposalRevision : row_revision();
}

row_revision map_history::decisionRevision(map_version version) const
{
    const version_state* known = find(version);
    return known ? known->decisionRevision : row_revision();
}

std::vector<map_version> map_history::obsoleteVersions() const
{
    int commits = 0;
    std::vector<map_version> versions;
    for (const auto& [version, known] : m_versions) {
        if (commits >= 2)
            versions.push_back(version);
        commits += known.isCommitted() ? 1 : 0;
    }
    return versions;
}

void map_history::removeObsolete()
{
    for (const map_version version : obsoleteVersions())
        m_versions.erase(version);
}

const map_history::version_state* map_history::find(map_version version) const
{
    const auto found = m_versions.find(version);
    return found == m_versions.end() ? nullptr : &found->second;
}

}
