#include "coordination/maps/map_switch_coordinator.h"

#include "coordination/maps/map_rows.h"

#include <boost/outcome/try.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace sardinelb {

namespace {

// Tolerance for the sum of shares, which allows for rounding: shares are written as decimal numbers and divided by the
// engines. A larger deviation is a planning error.
constexpr double shareTolerance = 1e-6;

coordination_error invalid(const map_switch_settings& settings, std::string detail)
{
    return { coordination_errc::Invalid, settings.group.value(), std::move(detail) };
}

bool isWellFormed(const std::vector<expert_map::replica>& replicas, std::uint32_t rankCount)
{
    const bool inRange = std::ranges::all_of(replicas, [&](const auto& replica) {
        return replica.rank.value() < rankCount && replica.share >= 0;
    });
    const double sum = std::accumulate(replicas.begin(), replicas.end(), 0.0,
        [](double total, const auto& replica) { return total + replica.share; });
    return inRange && std::abs(sum - 1) <= shareTolerance;
}

}

map_switch_coordinator::map_switch_coordinator(map_switch_settings settings, daemon_id self)
    : m_settings(std::move(settings))
    , m_self(std::move(self))
    , m_ranks(m_settings.rankCount)
{
}

void map_switch_coordinator::onLeaseHeld(fencing_number fencing, row_revision revision)
{
    const bool isRenewal = m_phase != phase::Inactive && fencing == m_fencing;
    m_fencing = fencing;
    m_leaseRevision = revision;
    if (!isRenewal) {
        reset();
        startReading();
    } else if (std::exchange(m_isLeaseUncertain, false)) {
        issueNextRequest();
    }
}

void map_switch_coordinator::onLeaseLost()
{
    reset();
}

coordination_result<map_version> map_switch_coordinator::propose(
    std::vector<std::vector<expert_map::replica>> experts, step_number firstStep)
{
    if (m_phase == phase::Inactive)
        return coordination_error { coordination_errc::LeaseLost, m_settings.group.value(), "the lease is not held" };
    if (m_phase != phase::Idle)
        return coordination_error { coordination_errc::Duplicate, m_settings.group.value(), "a map switch is in progress" };
    auto map = std::make_shared<expert_map>();
    map->version = map_version(m_history.newestVersion().value() + 1);
    map->experts = std::move(experts);
    BOOST_OUTCOME_TRY(validateProposal(*map, firstStep));
    const map_version version = map->version;
    m_proposal = map_proposal { std::move(map), firstStep, m_self, m_fencing };
    m_phase = phase::Proposing;
    issueNextRequest();
    return version;
}

void map_switch_coordinator::onStepEntered(step_number step)
{
    m_highestEnteredStep = std::max(m_highestEnteredStep, step);
}

void map_switch_coordinator::onPrepared(const map_prepared_message& message)
{
    if (m_phase == phase::Inactive || message.group != m_settings.group || message.rank.value() >= m_ranks.size())
        return;
    if (const auto decision = m_history.decisionOf(message.version)) {
        sendDecision(message.rank, *decision);
        return;
    }
    // While a commit is being written, the answers that it is conditional on must not change. Ranks resend theirs.
    rank_state& rank = m_ranks[message.rank.value()];
    if (message.version != m_preparingVersion || m_phase == phase::Deciding || message.rankIncarnation < rank.minimumIncarnation)
        return;
    if (message.nextStep > step_number())
        onStepEntered(step_number(message.nextStep.value() - 1));
    rank.minimumIncarnation = message.rankIncarnation;
    rank.answer = message;
    if (m_phase == phase::Preparing)
        evaluateAnswers();
}

void map_switch_coordinator::onRowsRead(
    std::uint64_t request, const state_result<std::vector<table_row>>& result, time_point now)
{
    if (request != m_pendingRequestId)
        return;
    m_pendingRequestId = 0;
    if (!result.has_value()) {
        scheduleRetry(now);
        return;
    }
    const auto isLastPage = m_reader->addPage(result.value(), m_history);
    if (!isLastPage.has_value()) {
        m_lastError = isLastPage.error();
        scheduleRetry(now);
    } else if (isLastPage.value()) {
        onHistoryRead(now);
    } else {
        issueNextRequest();
    }
}

void map_switch_coordinator::onWriteResult(
    std::uint64_t request, const state_result<row_revision>& result, time_point now)
{
    if (request != m_pendingRequestId)
        return;
    m_pendingRequestId = 0;
    if (result.has_value())
        onWriteSucceeded(result.value(), now);
    else if (result.error().code == state_errc::Unavailable)
        scheduleRetry(now);
    else if (result.error().code == state_errc::Conflict)
        onConflict(result.error().subject, now);
    else
        startReading();
}

void map_switch_coordinator::poll(time_point now)
{
    if (m_retryAt && *m_retryAt <= now) {
        m_retryAt.reset();
        issueNextRequest();
    }
    if (m_phase != phase::Preparing)
        return;
    if (m_prepareDeadline <= now) {
        decide(map_outcome::Abort);
    } else if (m_resendAt <= now) {
        m_resendAt = now + m_settings.resendInterval;
        sendPrepares();
    }
}

std::optional<time_point> map_switch_coordinator::nextDeadline() const
{
    std::optional<time_point> deadline = m_retryAt;
    if (m_phase == phase::Preparing) {
        const time_point due = std::min(m_resendAt, m_prepareDeadline);
        deadline = deadline ? std::min(*deadline, due) : due;
    }
    return deadline;
}

std::vector<map_coordinator_action> map_switch_coordinator::takeActions()
{
    return std::exchange(m_actions, {});
}

bool map_switch_coordinator::isIdle() const
{
    return m_phase == phase::Idle;
}

std::shared_ptr<const expert_map> map_switch_coordinator::committedMap() const
{
    const map_proposal* committed = m_history.newestCommittedProposal();
    return committed ? committed->map : nullptr;
}

std::optional<map_decision> map_switch_coordinator::lastDecision() const
{
    return m_history.newestDecision();
}

const std::optional<coordination_error>& map_switch_coordinator::lastError() const
{
    return m_lastError;
}

coordination_result<void> map_switch_coordinator::validateProposal(const expert_map& map, step_number firstStep) const
{
    if (map.experts.empty())
        return invalid(m_settings, "the map has no experts");
    for (std::size_t expert = 0; expert < map.experts.size(); ++expert)
        if (!isWellFormed(map.experts[expert], m_settings.rankCount))
            return invalid(m_settings, "expert " + std::to_string(expert) + " has a rank out of range, or shares that are negative or do not sum to 1");
    if (firstStep <= m_highestEnteredStep)
        return invalid(m_settings, "step " + std::to_string(firstStep.value()) + " has already been entered");
    const map_proposal* committed = m_history.newestCommittedProposal();
    // Ranks and the table keep at most two committed maps.
    if (committed && m_highestEnteredStep < committed->firstStep)
        return invalid(m_settings, "step " + std::to_string(committed->firstStep.value()) + ", the first of the last committed map, has not been entered yet");
    return boost::outcome_v2::success();
}

void map_switch_coordinator::reset()
{
    m_phase = phase::Inactive;
    m_isLeaseUncertain = false;
    m_pendingRequestId = 0;
    m_retryAt.reset();
    m_reader.reset();
    m_history = {};
    m_proposal.reset();
    m_preparingVersion = map_version();
    m_ranks.assign(m_settings.rankCount, rank_state {});
    m_actions.clear();
}

void map_switch_coordinator::issueNextRequest()
{
    if (m_isLeaseUncertain || m_pendingRequestId)
        return;
    if (m_phase == phase::Reading) {
        if (!m_reader)
            m_reader.emplace(m_settings.group);
        issueRequest(m_reader->nextRequest());
    } else if (m_phase == phase::Proposing) {
        issueProposal();
    } else if (m_phase == phase::Deciding) {
        issueDecision();
    }
}

void map_switch_coordinator::issueRequest(map_table_request request)
{
    request.id = ++m_lastRequestId;
    m_pendingRequestId = request.id;
    m_actions.emplace_back(std::move(request));
}

void map_switch_coordinator::scheduleRetry(time_point now)
{
    m_reader.reset();
    m_retryAt = now + m_settings.tableRetryInterval;
}

void map_switch_coordinator::startReading()
{
    m_phase = phase::Reading;
    m_reader.reset();
    issueNextRequest();
}

void map_switch_coordinator::issueProposal()
{
    const map_version version = m_proposal->map->version;
    const map_version before(version.value() - 1);
    map_table_request request;
    request.access = map_table_request::kind::Transact;
    table_transaction& transaction = request.transaction;
    transaction.conditions.push_back({ mapProposalKey(m_settings.group, version), row_revision() });
    if (before > map_version())
        transaction.conditions.push_back(
            { mapDecisionKey(m_settings.group, before), m_history.decisionRevision(before) });
    transaction.conditions.push_back({ mapLeaseKey(m_settings.group), m_leaseRevision });
    transaction.puts.emplace_back(mapProposalKey(m_settings.group, version), toRowValue(*m_proposal));
    for (const map_version obsolete : m_history.obsoleteVersions()) {
        transaction.deletes.push_back(mapProposalKey(m_settings.group, obsolete));
        transaction.deletes.push_back(mapDecisionKey(m_settings.group, obsolete));
    }
    m_transactionLeaseRevision = m_leaseRevision;
    issueRequest(std::move(request));
}

void map_switch_coordinator::issueDecision()
{
    const map_proposal& proposal = *m_history.proposalOf(m_preparingVersion);
    map_table_request request;
    request.access = map_table_request::kind::Transact;
    table_transaction& transaction = request.transaction;
    transaction.conditions.push_back({ mapDecisionKey(m_settings.group, m_preparingVersion), row_revision() });
    transaction.conditions.push_back(
        { mapProposalKey(m_settings.group, m_preparingVersion), m_history.proposalRevision(m_preparingVersion) });
    transaction.conditions.push_back({ mapLeaseKey(m_settings.group), m_leaseRevision });
    if (m_outcome == map_outcome::Commit)
        for (const rank_state& rank : m_ranks)
            transaction.conditions.push_back(
                { mapRankKey(m_settings.group, rank.answer->rank), rank.answer->registration });
    const map_decision decision { m_preparingVersion, m_outcome, proposal.firstStep };
    transaction.puts.emplace_back(mapDecisionKey(m_settings.group, m_preparingVersion), toRowValue(decision));
    m_transactionLeaseRevision = m_leaseRevision;
    issueRequest(std::move(request));
}

void map_switch_coordinator::onConflict(const std::string& key, time_point now)
{
    const auto rank = parseMapRankKey(m_settings.group, key);
    if (key == mapLeaseKey(m_settings.group))
        onLeaseConflict();
    else if (rank && m_phase == phase::Deciding)
        onRankReplaced(*rank, now);
    else
        startReading();
}

void map_switch_coordinator::onLeaseConflict()
{
    // A lease renewal that completed before the transaction also causes a conflict. If the new revision is already
    // known, the transaction is repeated with it.
    m_isLeaseUncertain = m_transactionLeaseRevision == m_leaseRevision;
    issueNextRequest();
}

void map_switch_coordinator::onRankReplaced(rank_id rank, time_point now)
{
    rank_state& state = m_ranks[rank.value()];
    const incarnation outdated = state.answer->rankIncarnation;
    state.minimumIncarnation = std::max(state.minimumIncarnation, incarnation(outdated.value() + 1));
    state.answer.reset();
    m_phase = phase::Preparing;
    sendPrepare(rank);
    poll(now);
}

void map_switch_coordinator::onWriteSucceeded(row_revision revision, time_point now)
{
    if (m_phase == phase::Proposing) {
        m_history.removeObsolete();
        m_history.addProposal(*m_proposal, revision);
        startPreparing(now);
    } else if (m_phase == phase::Deciding) {
        const step_number firstStep = m_history.proposalOf(m_preparingVersion)->firstStep;
        m_history.addDecision({ m_preparingVersion, m_outcome, firstStep }, revision);
        m_phase = phase::Idle;
        broadcastDecision();
    }
}

void map_switch_coordinator::onHistoryRead(time_point now)
{
    if (!m_history.isComplete()) {
        scheduleRetry(now);
        return;
    }
    m_lastError.reset();
    m_reader.reset();
    broadcastDecision();
    if (m_history.undecidedProposal())
        startPreparing(now);
    else
        resumeProposing();
}

void map_switch_coordinator::resumeProposing()
{
    const bool isNext = m_proposal && m_proposal->map->version.value() == m_history.newestVersion().value() + 1;
    m_phase = isNext ? phase::Proposing : phase::Idle;
    if (isNext)
        issueNextRequest();
    else
        m_proposal.reset();
}

void map_switch_coordinator::startPreparing(time_point now)
{
    const map_version version = m_history.undecidedProposal()->map->version;
    m_proposal.reset();
    m_phase = phase::Preparing;
    if (std::exchange(m_preparingVersion, version) != version) {
        for (rank_state& rank : m_ranks)
            rank.answer.reset();
        m_prepareDeadline = now + m_settings.prepareTimeout;
    }
    m_resendAt = now + m_settings.resendInterval;
    sendPrepares();
    evaluateAnswers();
}

void map_switch_coordinator::sendPrepares()
{
    for (std::uint32_t rank = 0; rank < m_ranks.size(); ++rank)
        if (!m_ranks[rank].answer)
            sendPrepare(rank_id(rank));
}

void map_switch_coordinator::sendPrepare(rank_id rank)
{
    const map_proposal& proposal = *m_history.proposalOf(m_preparingVersion);
    m_actions.emplace_back(
        map_prepare_message { m_settings.group, rank, m_self, m_fencing, proposal.firstStep, proposal.map });
}

void map_switch_coordinator::sendDecision(rank_id rank, const map_decision& decision)
{
    m_actions.emplace_back(map_decision_message { m_settings.group, rank, decision });
}

void map_switch_coordinator::broadcastDecision()
{
    const auto decision = m_history.newestDecision();
    if (!decision)
        return;
    for (std::uint32_t rank = 0; rank < m_ranks.size(); ++rank)
        sendDecision(rank_id(rank), *decision);
}

void map_switch_coordinator::evaluateAnswers()
{
    const auto refused = [](const rank_state& rank) {
        return rank.answer && rank.answer->readiness == map_readiness::Refused;
    };
    if (std::ranges::any_of(m_ranks, refused))
        decide(map_outcome::Abort);
    else if (std::ranges::all_of(m_ranks, [](const rank_state& rank) { return rank.answer.has_value(); }))
        decide(map_outcome::Commit);
}

void map_switch_coordinator::decide(map_outcome outcome)
{
    m_phase = phase::Deciding;
    m_outcome = outcome;
    issueNextRequest();
}

}
