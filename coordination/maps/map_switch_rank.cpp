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
    m_asked = std::max(m_asked.value_or(step), step);
    if (m_phase != phase::Ready)
        return std::nullopt;
    advance(now);
    if (isHeldUp(step))
        return std::nullopt;
    const map_proposal* proposal = m_history.committedFor(step);
    if (!proposal)
        return std::nullopt;
    const map_version version = proposal->map->version;
    if (!m_loaded.contains(version)) {
        load(*proposal);
        return std::nullopt;
    }
    m_entered = std::max(m_entered, step);
    advance(now);
    return version;
}

void map_switch_rank::onPrepare(const map_prepare_message& message, time_point now)
{
    if (m_phase != phase::Ready || message.fencing < m_fencing)
        return;
    learnCoordinator(message.coordinator, message.fencing);
    const map_version version = message.map->version;
    const bool isNext = version.value() == m_history.newestVersion().value() + 1 && !m_history.undecided();
    if (isNext)
        m_history.addProposal({ message.map, message.firstStep, message.coordinator, message.fencing }, row_revision());
    else if (version > m_history.newestVersion())
        readHistory();
    const map_proposal* undecided = m_history.undecided();
    if (undecided && undecided->map->version == version)
        answerProposal(*undecided, now);
}

void map_switch_rank::onDecision(const map_decision_message& message, time_point now)
{
    // The decision about an unknown proposal is of no use without its map. An incarnation that has registered hears of
    // a proposal before it can be committed.
    const map_version version = message.decision.version;
    if (m_phase != phase::Ready || !m_history.proposalOf(version) || m_history.decisionOf(version))
        return;
    m_history.addDecision(message.decision, row_revision());
    advance(now);
}

void map_switch_rank::onWeightsLoaded(map_version version, time_point now)
{
    if (!m_ordered.contains(version))
        return;
    m_loaded.insert(version);
    advance(now);
}

void map_switch_rank::onRowsRead(
    std::uint64_t request, const state_result<std::vector<table_row>>& result, time_point now)
{
    if (request != m_request)
        return;
    m_request = 0;
    if (std::exchange(m_isReadingDecision, false))
        decisionRead(result, now);
    else if (!result.has_value())
        retryLater(now);
    else if (m_phase == phase::ReadingRegistration)
        registrationRead(result.value(), now);
    else
        historyPageRead(result.value(), now);
}

void map_switch_rank::onWriteResult(std::uint64_t request, const state_result<row_revision>& result, time_point now)
{
    if (request != m_request)
        return;
    m_request = 0;
    if (result.has_value()) {
        registered(result.value());
    } else if (result.error().code == state_errc::Unavailable) {
        retryLater(now);
    } else {
        m_phase = phase::ReadingRegistration;
        issue();
    }
}

void map_switch_rank::poll(time_point now)
{
    if (m_retryAt && *m_retryAt <= now) {
        m_retryAt.reset();
        issue();
    }
    if (!hasOpenPromise())
        return;
    if (m_answerAgainAt <= now) {
        m_answerAgainAt = now + m_settings.resendInterval;
        sendAnswer(m_promise->version, map_readiness::Prepared);
    }
    if (isHeldUp(*m_asked) && m_readAgainAt <= now) {
        m_readAgainAt = now + m_settings.decisionPollInterval;
        readDecision();
    }
}

std::optional<time_point> map_switch_rank::nextDeadline() const
{
    std::optional<time_point> deadline = m_retryAt;
    if (hasOpenPromise()) {
        const time_point due = isHeldUp(*m_asked) ? std::min(m_answerAgainAt, m_readAgainAt) : m_answerAgainAt;
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

// The lowest step that this rank has neither entered nor been carried past by the group.
step_number map_switch_rank::lowestOpenStep() const
{
    return std::max(m_asked.value_or(step_number()), step_number(m_entered.value() + 1));
}

bool map_switch_rank::hasOpenPromise() const
{
    return m_promise && !m_history.decisionOf(m_promise->version);
}

bool map_switch_rank::isHeldUp(step_number step) const
{
    return hasOpenPromise() && m_promise->firstStep <= step;
}

void map_switch_rank::issue()
{
    if (m_request)
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
    request.id = ++m_lastRequest;
    m_request = request.id;
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

void map_switch_rank::retryLater(time_point now)
{
    m_reader.reset();
    m_retryAt = now + m_settings.tableRetryInterval;
}

void map_switch_rank::registrationRead(const std::vector<table_row>& rows, time_point now)
{
    if (rows.empty()) {
        registrationParsed(incarnation(), row_revision());
        return;
    }
    const auto found = parseMapRank(rows.front().key, rows.front().value);
    if (found.has_value()) {
        registrationParsed(found.value(), rows.front().revision);
    } else {
        m_lastError = found.error();
        retryLater(now);
    }
}

void map_switch_rank::registrationParsed(incarnation found, row_revision revision)
{
    m_registration = revision;
    if (found > m_incarnation) {
        m_phase = phase::Superseded;
    } else if (found == m_incarnation && revision > row_revision()) {
        registered(revision);
    } else {
        m_phase = phase::Registering;
        issue();
    }
}

void map_switch_rank::registered(row_revision revision)
{
    m_registration = revision;
    m_phase = phase::ReadingHistory;
    issue();
}

void map_switch_rank::readHistory()
{
    if (m_request)
        return;
    if (!m_reader)
        m_reader.emplace(m_settings.group);
    issueRequest(m_reader->nextRequest());
}

void map_switch_rank::historyPageRead(const std::vector<table_row>& rows, time_point now)
{
    const auto isLastPage = m_reader->addPage(rows, m_history);
    if (!isLastPage.has_value()) {
        m_lastError = isLastPage.error();
        retryLater(now);
        return;
    }
    if (!isLastPage.value()) {
        readHistory();
        return;
    }
    if (!m_history.isComplete()) {
        retryLater(now);
        return;
    }
    m_reader.reset();
    m_lastError.reset();
    m_phase = phase::Ready;
    advance(now);
}

// Reads only the row that the rank waits for, because many ranks wait at the same time and proposals are large.
void map_switch_rank::readDecision()
{
    if (m_request)
        return;
    map_table_request request;
    request.from = mapDecisionKey(m_settings.group, m_promise->version);
    request.to = request.from + '\0';
    request.limit = 1;
    m_isReadingDecision = true;
    issueRequest(std::move(request));
}

// A failed read is repeated after the poll interval.
void map_switch_rank::decisionRead(const state_result<std::vector<table_row>>& result, time_point now)
{
    if (!result.has_value() || result.value().empty())
        return;
    const auto added = m_history.addRow(m_settings.group, result.value().front());
    if (added.has_value())
        advance(now);
    else
        m_lastError = added.error();
}

// Goes on with a committed map that is not in force yet, and with the undecided proposal, as far as is possible now.
void map_switch_rank::advance(time_point now)
{
    if (m_phase != phase::Ready)
        return;
    if (!hasOpenPromise())
        m_promise.reset();
    m_history.removeObsolete();
    releaseUnused();
    const map_proposal* committed = m_history.newestCommitted();
    if (committed && m_entered > step_number())
        load(*committed);
    const map_proposal* undecided = m_history.undecided();
    if (!undecided || m_promise || m_refused == undecided->map->version)
        return;
    learnCoordinator(undecided->coordinator, undecided->fencing);
    answerProposal(*undecided, now);
}

void map_switch_rank::learnCoordinator(const daemon_id& coordinator, fencing_number fencing)
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
    } else if (lowestOpenStep() > proposal.firstStep) {
        m_refused = version;
        sendAnswer(version, map_readiness::Refused);
    } else if (m_loaded.contains(version) && m_asked) {
        m_promise = promise { version, proposal.firstStep };
        m_answerAgainAt = now + m_settings.resendInterval;
        m_readAgainAt = now + m_settings.resendInterval;
        sendAnswer(version, map_readiness::Prepared);
    } else if (mayLoadAhead()) {
        load(proposal);
    }
}

// Two maps are in memory at a time: the weights of a proposal are loaded only when the rank has entered the first step
// of the map in force, and so has released the map before it. An incarnation that has not been asked for a step takes
// no part in the group yet.
bool map_switch_rank::mayLoadAhead() const
{
    const map_proposal* committed = m_history.newestCommitted();
    return m_asked && (!committed || m_entered >= committed->firstStep);
}

void map_switch_rank::load(const map_proposal& proposal)
{
    const map_version version = proposal.map->version;
    if (m_ordered.insert(version).second)
        m_actions.emplace_back(map_weights_order { map_weights_order::kind::Load, version, proposal.map });
}

void map_switch_rank::releaseUnused()
{
    const std::set<map_version> ordered = m_ordered;
    for (const map_version version : ordered) {
        if (isNeeded(version))
            continue;
        m_ordered.erase(version);
        m_loaded.erase(version);
        m_actions.emplace_back(map_weights_order { map_weights_order::kind::Release, version, nullptr });
    }
}

bool map_switch_rank::isNeeded(map_version version) const
{
    const map_proposal* undecided = m_history.undecided();
    if (undecided && undecided->map->version == version)
        return lowestOpenStep() <= undecided->firstStep || m_promise;
    const auto decision = m_history.decisionOf(version);
    if (!decision || decision->outcome == map_outcome::Abort)
        return false;
    const map_proposal* inForce = m_history.committedFor(std::max(m_entered, step_number(1)));
    return !inForce || version >= inForce->map->version;
}

void map_switch_rank::sendAnswer(map_version version, map_readiness readiness)
{
    m_actions.emplace_back(map_prepared_message { m_settings.group, m_coordinator, m_rank, m_incarnation,
        m_registration, version, readiness, lowestOpenStep() });
}

}
