#include "coordination/maps/map_switch_rank.h"

#include "coordination/maps/map_rows.h"

#include <algorithm>
#include <utility>

namespace sardinelb {

map_switch_rank::map_switch_rank(map_switch_settings settings, rank_id rank, incarnation rankIncarnation)
    : m_settings(std::move(settings))
    , m_rank(rank)
    , m_incarnation(rankIncarnation)
{
}

std::optional<map_version> map_switch_rank::tryEnterStep(step_number step, time_point now)
{
    m_requestedStep = std::max(m_requestedStep.value_or(step), step);
    if (m_phase != phase::Ready)
        return std::nullopt;
    advance(now);
    if (isBlocked(step))
        return std::nullopt;
    const map_proposal* proposal = m_history.committedProposalFor(step);
    if (!proposal)
        return std::nullopt;
    const map_version version = proposal->map->version;
    if (!m_loadedVersions.contains(version)) {
        orderLoad(*proposal);
        return std::nullopt;
    }
    m_enteredStep = std::max(m_enteredStep, step);
    advance(now);
    return version;
}

void map_switch_rank::onPrepare(const map_prepare_message& message, time_point now)
{
    if (m_phase != phase::Ready || message.fencing < m_fencing)
        return;
    updateCoordinator(message.coordinator, message.fencing);
    const map_version version = message.map->version;
    const bool isNext = version.value() == m_history.newestVersion().value() + 1 && !m_history.undecidedProposal();
    if (isNext)
        m_history.addProposal({ message.map, message.firstStep, message.coordinator, message.fencing }, row_revision());
    else if (version > m_history.newestVersion())
        readHistory();
    const map_proposal* undecided = m_history.undecidedProposal();
    if (undecided && undecided->map->version == version)
        answerProposal(*undecided, now);
}

void map_switch_rank::onDecision(const map_decision_message& message, time_point now)
{
    // A decision about an unknown proposal is ignored, because the map is missing. No commit is lost: a proposal cannot
    // be committed before the registered incarnation of this rank has received it.
    const map_version version = message.decision.version;
    if (m_phase != phase::Ready || !m_history.proposalOf(version) || m_history.decisionOf(version))
        return;
    m_history.addDecision(message.decision, row_revision());
    advance(now);
}

void map_switch_rank::onWeightsLoaded(map_version version, time_point now)
{
    if (!m_orderedVersions.contains(version))
        return;
    m_loadedVersions.insert(version);
    advance(now);
}

void map_switch_rank::onRowsRead(
    std::uint64_t request, const state_result<std::vector<table_row>>& result, time_point now)
{
    if (request != m_pendingRequestId)
        return;
    m_pendingRequestId = 0;
    if (std::exchange(m_isReadingDecision, false))
        onDecisionRead(result, now);
    else if (!result.has_value())
        scheduleRetry(now);
    else if (m_phase == phase::ReadingRegistration)
        onRegistrationRead(result.value(), now);
    else
        onHistoryPageRead(result.value(), now);
}

void map_switch_rank::onWriteResult(std::uint64_t request, const state_result<row_revision>& result, time_point now)
{
    if (request != m_pendingRequestId)
        return;
    m_pendingRequestId = 0;
    if (result.has_value()) {
        onRegistered(result.value());
    } else if (result.error().code == state_errc::Unavailable) {
        scheduleRetry(now);
    } else {
        m_phase = phase::ReadingRegistration;
        issueNextRequest();
    }
}

void map_switch_rank::poll(time_point now)
{
    if (m_retryAt && *m_retryAt <= now) {
        m_retryAt.reset();
        issueNextRequest();
    }
    if (!hasPendingPromise())
        return;
    if (m_resendAt <= now) {
        m_resendAt = now + m_settings.resendInterval;
        sendAnswer(m_promise->version, map_readiness::Prepared);
    }
    if (isBlocked(*m_requestedStep) && m_nextDecisionReadAt <= now) {
        m_nextDecisionReadAt = now + m_settings.decisionPollInterval;
        readDecision();
    }
}

std::optional<time_point> map_switch_rank::nextDeadline() const
{
    std::optional<time_point> deadline = m_retryAt;
    if (hasPendingPromise()) {
        const time_point due = isBlocked(*m_requestedStep) ? std::min(m_resendAt, m_nextDecisionReadAt) : m_resendAt;
        deadline = deadline ? std::min(*deadline, due) : due;
    }
    return deadline;
}

std::vector<map_rank_action> map_switch_rank::takeActions()
{
    return std::exchange(m_actions, {});
}

bool map_switch_rank::isSuperseded() const
{
    return m_phase == phase::Superseded;
}

const std::optional<coordination_error>& map_switch_rank::lastError() const
{
    return m_lastError;
}

// The lowest step that this rank has not entered and the group has not passed without it.
step_number map_switch_rank::lowestEnterableStep() const
{
    return std::max(m_requestedStep.value_or(step_number()), step_number(m_enteredStep.value() + 1));
}

bool map_switch_rank::hasPendingPromise() const
{
    return m_promise && !m_history.decisionOf(m_promise->version);
}

bool map_switch_rank::isBlocked(step_number step) const
{
    return hasPendingPromise() && m_promise->firstStep <= step;
}

void map_switch_rank::issueNextRequest()
{
    if (m_pendingRequestId)
        return;
    if (m_phase == phase::ReadingRegistration) {
        map_table_request request;
        request.from = mapRankKey(m_settings.group, m_rank);
        request.to = request.from + '\0';
        request.limit = 1;
        issueRequest(std::move(request));
    } else if (m_phase == phase::Registering) {
        issueRegistration();
    } else if (m_phase != phase::Superseded) {
        readHistory();
    }
}

void map_switch_rank::issueRequest(map_table_request request)
{
    request.id = ++m_lastRequestId;
    m_pendingRequestId = request.id;
    m_actions.emplace_back(std::move(request));
}

void map_switch_rank::issueRegistration()
{
    const std::string key = mapRankKey(m_settings.group, m_rank);
    map_table_request request;
    request.access = map_table_request::kind::Transact;
    request.transaction.conditions.push_back({ key, m_registration });
    request.transaction.puts.emplace_back(key, toRowValue(m_incarnation));
    issueRequest(std::move(request));
}

void map_switch_rank::scheduleRetry(time_point now)
{
    m_reader.reset();
    m_retryAt = now + m_settings.tableRetryInterval;
}

void map_switch_rank::onRegistrationRead(const std::vector<table_row>& rows, time_point now)
{
    if (rows.empty()) {
        onRegistrationParsed(incarnation(), row_revision());
        return;
    }
    const auto found = parseMapRank(rows.front().key, rows.front().value);
    if (found.has_value()) {
        onRegistrationParsed(found.value(), rows.front().revision);
    } else {
        m_lastError = found.error();
        scheduleRetry(now);
    }
}

void map_switch_rank::onRegistrationParsed(incarnation found, row_revision revision)
{
    m_registration = revision;
    if (found > m_incarnation) {
        m_phase = phase::Superseded;
    } else if (found == m_incarnation && revision > row_revision()) {
        onRegistered(revision);
    } else {
        m_phase = phase::Registering;
        issueNextRequest();
    }
}

void map_switch_rank::onRegistered(row_revision revision)
{
    m_registration = revision;
    m_phase = phase::ReadingHistory;
    issueNextRequest();
}

void map_switch_rank::readHistory()
{
    if (m_pendingRequestId)
        return;
    if (!m_reader)
        m_reader.emplace(m_settings.group);
    issueRequest(m_reader->nextRequest());
}

void map_switch_rank::onHistoryPageRead(const std::vector<table_row>& rows, time_point now)
{
    const auto isLastPage = m_reader->addPage(rows, m_history);
    if (!isLastPage.has_value()) {
        m_lastError = isLastPage.error();
        scheduleRetry(now);
        return;
    }
    if (!isLastPage.value()) {
        readHistory();
        return;
    }
    if (!m_history.isComplete()) {
        scheduleRetry(now);
        return;
    }
    m_reader.reset();
    m_lastError.reset();
    m_phase = phase::Ready;
    advance(now);
}

// Reads only the row of the awaited decision, because many ranks wait at the same time and proposals are large.
void map_switch_rank::readDecision()
{
    if (m_pendingRequestId)
        return;
    map_table_request request;
    request.from = mapDecisionKey(m_settings.group, m_promise->version);
    request.to = request.from + '\0';
    request.limit = 1;
    m_isReadingDecision = true;
    issueRequest(std::move(request));
}

// A failed read needs no handling here: poll() repeats it after the poll interval.
void map_switch_rank::onDecisionRead(const state_result<std::vector<table_row>>& result, time_point now)
{
    if (!result.has_value() || result.value().empty())
        return;
    const auto added = m_history.addRow(m_settings.group, result.value().front());
    if (added.has_value())
        advance(now);
    else
        m_lastError = added.error();
}

// Takes the next possible step towards a committed map that is not in force yet and towards the undecided proposal:
// releases unused weights, orders loads and answers the proposal.
void map_switch_rank::advance(time_point now)
{
    if (m_phase != phase::Ready)
        return;
    if (!hasPendingPromise())
        m_promise.reset();
    m_history.removeObsolete();
    releaseUnused();
    const map_proposal* committed = m_history.newestCommittedProposal();
    if (committed && m_enteredStep > step_number())
        orderLoad(*committed);
    const map_proposal* undecided = m_history.undecidedProposal();
    if (!undecided || m_promise || m_refusedVersion == undecided->map->version)
        return;
    updateCoordinator(undecided->coordinator, undecided->fencing);
    answerProposal(*undecided, now);
}

void map_switch_rank::updateCoordinator(const daemon_id& coordinator, fencing_number fencing)
{
    if (fencing < m_fencing)
        return;
    m_fencing = fencing;
    m_coordinator = coordinator;
}

void map_switch_rank::answerProposal(const map_proposal& proposal, time_point now)
{
    const map_version version = proposal.map->version;
    const bool isPromised = m_promise && m_promise->version == version;
    if (isPromised) {
        sendAnswer(version, map_readiness::Prepared);
    } else if (lowestEnterableStep() > proposal.firstStep) {
        m_refusedVersion = version;
        sendAnswer(version, map_readiness::Refused);
    } else if (m_loadedVersions.contains(version) && m_requestedStep) {
        m_promise = promise { version, proposal.firstStep };
        m_resendAt = now + m_settings.resendInterval;
        m_nextDecisionReadAt = now + m_settings.resendInterval;
        sendAnswer(version, map_readiness::Prepared);
    } else if (canPreload()) {
        orderLoad(proposal);
    }
}

// Whether the weights of an undecided proposal may be loaded. At most two maps are in memory at a time: the rank must
// have entered the first step of the last committed map, and so has released the map before it. An incarnation that has
// not been asked to enter a step does not take part in the group yet.
bool map_switch_rank::canPreload() const
{
    const map_proposal* committed = m_history.newestCommittedProposal();
    return m_requestedStep && (!committed || m_enteredStep >= committed->firstStep);
}

void map_switch_rank::orderLoad(const map_proposal& proposal)
{
    const map_version version = proposal.map->version;
    if (m_orderedVersions.insert(version).second)
        m_actions.emplace_back(map_weights_order { map_weights_order::kind::Load, version, proposal.map });
}

void map_switch_rank::releaseUnused()
{
    const std::set<map_version> ordered = m_orderedVersions;
    for (const map_version version : ordered) {
        if (isNeeded(version))
            continue;
        m_orderedVersions.erase(version);
        m_loadedVersions.erase(version);
        m_actions.emplace_back(map_weights_order { map_weights_order::kind::Release, version, nullptr });
    }
}

bool map_switch_rank::isNeeded(map_version version) const
{
    const map_proposal* undecided = m_history.undecidedProposal();
    if (undecided && undecided->map->version == version)
        return lowestEnterableStep() <= undecided->firstStep || m_promise;
    const auto decision = m_history.decisionOf(version);
    if (!decision || decision->outcome == map_outcome::Abort)
        return false;
    const map_proposal* inForce = m_history.committedProposalFor(std::max(m_enteredStep, step_number(1)));
    return !inForce || version >= inForce->map->version;
}

void map_switch_rank::sendAnswer(map_version version, map_readiness readiness)
{
    m_actions.emplace_back(map_prepared_message { m_settings.group, m_coordinator, m_rank, m_incarnation,
        m_registration, version, readiness, lowestEnterableStep() });
}

}
