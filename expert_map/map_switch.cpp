#include "expert_map/map_switch.h"

#include "expert_map/map_content.h"

#include <algorithm>
#include <utility>

namespace sardinelb {

namespace {

// No switch starts while the report of any rank is older than this.
constexpr duration maxReportAge = std::chrono::milliseconds(600);

// Limit of the distance from the newest reported pass to the pass to hold. Until then, passes run with the old map.
constexpr std::uint64_t maxPassesAhead = 4;
constexpr std::uint32_t maxHoldAttempts = 4;

// Each coordinator uses only version and pass numbers with the remainder of its rank by this modulus, so that coordinators
// of neighboring ranks do not take each other's versions and holds for their own.
constexpr std::uint64_t coordinatorModulus = 3;

// Time for rank 0 to confirm its hold. Unanswered orders are resent in the meantime; orders are idempotent because each names its
// map version or pass.
constexpr duration holdTimeout = std::chrono::milliseconds(300);
constexpr duration resendInterval = std::chrono::milliseconds(120);

// Time after which arming is given up. Covers several rounds of copies of orders.
constexpr duration armTimeout = std::chrono::milliseconds(600);

// A rank that has neither reported nor answered a poll for this long cannot be reached.
constexpr duration unreachableTimeout = std::chrono::milliseconds(250);

// Time for a report that shows why a rank has refused to be armed.
constexpr duration refusalReportTimeout = std::chrono::milliseconds(200);

// advance() is called ten times per second; a longer gap means that the process was paused.
constexpr duration maxCallGap = std::chrono::milliseconds(400);

// Time that ranks may take, beyond the copy time, to report a map as prepared.
constexpr duration prepareSlack = std::chrono::milliseconds(1500);

// Age of a hold at which any coordinator completes or rolls back the switch. Exceeds the time from a hold to its release when no
// order is lost; two coordinators that act at once only send needless orders.
constexpr duration foreignHoldTimeout = std::chrono::milliseconds(120);

// Time after which ranks that stay armed without a hold are reset, and a switch of a coordinator of an earlier build is ended.
constexpr duration abandonedSwitchTimeout = std::chrono::milliseconds(1300);

// Lists that contradict the map in use are taken for it after this time, if all ranks have listed the same for so long and the lists
// together are whole. The maps of an earlier build that follow those of this one have no valid digest.
constexpr duration contradictoryListsTimeout = std::chrono::seconds(3);

// A rank whose step is further ahead of those of all others than this reports a wrong one: ranks run all passes together.
constexpr std::uint64_t maxStepLead = 200;

// Contents of maps that are kept: the map in use and those ordered since.
constexpr std::size_t maxKnownPlacements = 4;

constexpr duration shortRetryDelay = std::chrono::milliseconds(500);
// Used after an order got no answer, since further orders are likely to get none for a few seconds, and after a rollback.
constexpr duration longRetryDelay = std::chrono::seconds(3);

}

map_switch::map_switch(rank_id coordinator, std::uint32_t groupSize)
    : m_coordinator(coordinator)
    , m_groupSize(groupSize)
{
}

void map_switch::startEpoch(std::uint64_t epoch)
{
    m_epoch = epoch;
    m_ranks.clear();
    m_placements.clear();
    m_contradictoryLists.reset();
    m_contradictorySince.reset();
    m_stage = stage::Idle;
    m_foreignSince.reset();
    m_orders.clear();
    m_lastStep = {};
    m_acceptedVersions.clear();
    m_sealedSteps.clear();
    m_unsealableSteps.clear();
    m_disarmedVersions.clear();
}

void map_switch::onReport(const rank_status& status)
{
    if (status.epoch < m_epoch) {
        // An epoch that no rank reports any more was wrong.
        m_ranks.erase(status.rank);
        if (!m_ranks.empty())
            return;
        startEpoch(status.epoch);
    }
    // A group that forms anew loses all prepared maps, armed switches and holds.
    if (status.epoch > m_epoch)
        startEpoch(status.epoch);
    m_disarmedVersions.erase(status.rank);
    if (status.rank == rank_id(0))
        observePassTime(status);
    rank_status& known = m_ranks[status.rank];
    auto experts = known.map == status.map ? std::move(known.expertsBySet) : decltype(known.expertsBySet) {};
    const bool wasWitness = known.isWitness;
    known = status;
    // Unknown in a report polled from the runner.
    known.isWitness = known.isWitness || wasWitness;
    // A report polled directly from another rank's runner does not list the experts.
    if (known.expertsBySet.empty())
        known.expertsBySet = std::move(experts);
}

void map_switch::onExperts(rank_id rank, std::uint64_t epoch, map_version map, std::vector<std::vector<expert_number>> expertsBySet)
{
    const auto known = m_ranks.find(rank);
    if (known != m_ranks.end() && epoch == m_epoch && map == known->second.map)
        known->second.expertsBySet = std::move(expertsBySet);
}

void map_switch::onPlacement(std::uint64_t epoch, map_version version, std::shared_ptr<const expert_placement> placement)
{
    const bool isNew = epoch == m_epoch && !m_placements.contains(version);
    if (isNew && sequenceOf(version) > 0 && isContentOf(version, *placement))
        rememberPlacement(version, std::move(placement));
}

void map_switch::rememberPlacement(map_version version, std::shared_ptr<const expert_placement> placement)
{
    m_placements[version] = std::move(placement);
    const auto inUse = commonMap();
    for (auto known = m_placements.begin(); known != m_placements.end() && m_placements.size() > maxKnownPlacements;)
        known = known->first == inUse || known->first == version ? std::next(known) : m_placements.erase(known);
}

std::vector<rank_id> map_switch::ranksLackingExperts() const
{
    std::vector<rank_id> lacking;
    if (m_stage != stage::RollingBack || placementInUse())
        return lacking;
    for (const auto& [rank, status] : m_ranks) {
        // Nobody knows which list is the wrong one.
        if (status.expertsBySet.empty() || areListsContradictory())
            lacking.push_back(rank);
    }
    return lacking;
}

bool map_switch::isComplete(time_point now) const
{
    if (m_ranks.size() != m_groupSize)
        return false;
    return std::all_of(m_ranks.begin(), m_ranks.end(), [&](const auto& entry) {
        return entry.second.isOpen && now - entry.second.receivedAt <= maxReportAge;
    });
}

std::uint64_t map_switch::highestSequence() const
{
    std::uint64_t highest = m_highestUsedSequence;
    for (const auto& [rank, status] : m_ranks) {
        highest = std::max(highest, sequenceOf(status.map));
        highest = std::max(highest, sequenceOf(status.prepared.value_or(map_version {})));
        highest = std::max(highest, sequenceOf(status.armed.value_or(map_version {})));
    }
    return highest;
}

map_version map_switch::nextVersion(const expert_placement& placement)
{
    std::uint64_t sequence = highestSequence() + 1;
    while (sequence % coordinatorModulus != m_coordinator.value() % coordinatorModulus)
        ++sequence;
    m_highestUsedSequence = sequence;
    return mapVersion(sequence, placement);
}

std::uint64_t map_switch::highestStep() const
{
    std::uint64_t highest = 0;
    std::uint64_t second = 0;
    for (const auto& [rank, status] : m_ranks) {
        second = std::max(second, std::min(highest, status.step.value()));
        highest = std::max(highest, status.step.value());
    }
    const bool isLeadCredible = m_ranks.size() < 2 || highest - second <= maxStepLead;
    return isLeadCredible ? highest : second;
}

std::optional<map_switch::hold> map_switch::currentHold() const
{
    // Earlier builds hold passes at rank 0.
    for (const rank_id rank : { holdingRank(), rank_id(0) }) {
        const auto known = m_ranks.find(rank);
        if (known != m_ranks.end() && known->second.held)
            return hold { rank, *known->second.held };
    }
    return std::nullopt;
}

std::optional<step_number> map_switch::heldStep() const
{
    const auto current = currentHold();
    return current ? std::optional(current->step) : std::nullopt;
}

bool map_switch::areAllPrepared(map_version version) const
{
    return std::all_of(m_ranks.begin(), m_ranks.end(), [&](const auto& entry) { return entry.second.prepared == version; });
}

bool map_switch::isVoid(const rank_status& status, map_version version) const
{
    const auto accepted = m_acceptedVersions.find(status.rank);
    if (accepted != m_acceptedVersions.end() && accepted->second.version > version)
        return true;
    return status.map > version || (status.prepared > version && status.armed != version);
}

std::optional<map_version> map_switch::completableVersion() const
{
    const auto held = heldStep();
    const auto armed = std::find_if(m_ranks.begin(), m_ranks.end(), [&](const auto& entry) { return entry.second.armed && entry.second.armedStep == held; });
    if (!held || armed == m_ranks.end())
        return std::nullopt;
    const map_version version = *armed->second.armed;
    const bool isPossible = std::all_of(m_ranks.begin(), m_ranks.end(), [&](const auto& entry) {
        const rank_status& status = entry.second;
        return !isVoid(status, version) && (status.armed ? status.armed == version : status.prepared == version);
    });
    return isPossible ? std::optional(version) : std::nullopt;
}

bool map_switch::hasPassBegun() const
{
    return highestStep() >= m_step.value();
}

bool map_switch::areAllArmed() const
{
    if (m_ranks.size() != m_groupSize || !m_ranks.begin()->second.armed)
        return false;
    const auto& first = m_ranks.begin()->second.armed;
    return std::all_of(m_ranks.begin(), m_ranks.end(), [&](const auto& entry) { return entry.second.armed == first; });
}

std::optional<map_version> map_switch::commonMap() const
{
    if (m_ranks.size() != m_groupSize)
        return std::nullopt;
    const map_version first = m_ranks.begin()->second.map;
    const bool isCommon = std::all_of(m_ranks.begin(), m_ranks.end(), [&](const auto& entry) { return entry.second.map == first; });
    return isCommon ? std::optional(first) : std::nullopt;
}

std::shared_ptr<const expert_placement> map_switch::placementInUse() const
{
    const auto inUse = commonMap();
    const auto known = inUse ? m_placements.find(*inUse) : m_placements.end();
    return known == m_placements.end() ? nullptr : known->second;
}

std::shared_ptr<const expert_placement> map_switch::assemblePlacement() const
{
    auto placement = std::make_shared<expert_placement>();
    placement->sets.resize(m_ranks.begin()->second.expertsBySet.size());
    for (const auto& [rank, status] : m_ranks) {
        if (status.expertsBySet.empty() || status.expertsBySet.size() != placement->sets.size())
            return nullptr;
        for (std::size_t set = 0; set < status.expertsBySet.size(); ++set)
            placement->sets[set].push_back(status.expertsBySet[set]);
    }
    return placement;
}

void map_switch::updatePlacementInUse(time_point now)
{
    const auto inUse = commonMap();
    if (!inUse || m_placements.contains(*inUse)) {
        m_contradictorySince.reset();
        return;
    }
    auto placement = assemblePlacement();
    if (!placement)
        return;
    const bool isWhole = isWholePlacement(*placement);
    if (isWhole && isContentOf(*inUse, *placement) && (*inUse != map_version {} || isWithoutCopies(*placement))) {
        m_contradictorySince.reset();
        rememberPlacement(*inUse, std::move(placement));
        return;
    }
    if (!m_contradictorySince || *m_contradictoryLists != *placement) {
        m_contradictorySince = now;
        m_contradictoryLists = std::move(placement);
    } else if (isWhole && now - *m_contradictorySince >= contradictoryListsTimeout) {
        m_contradictorySince.reset();
        rememberPlacement(*inUse, std::move(placement));
    }
}

std::optional<expert_placement> map_switch::currentPlacement(time_point now) const
{
    if (m_stage != stage::Idle || !isComplete(now))
        return std::nullopt;
    const auto placement = placementInUse();
    return placement ? std::optional(*placement) : std::nullopt;
}

void map_switch::enterStage(stage next, time_point now)
{
    m_stage = next;
    m_stageSince = now;
    m_lastSentAt.clear();
    m_lastAnswerAt.clear();
}

void map_switch::returnToIdle(duration retryDelay, time_point now)
{
    enterStage(stage::Idle, now);
    m_nextSwitchAt = std::max(m_nextSwitchAt, now + retryDelay);
}

void map_switch::queueOrder(map_order::kind action, rank_id rank, map_version version, step_number step, std::shared_ptr<const expert_placement> placement)
{
    map_order order { action, rank, m_epoch, version, step, std::move(placement) };
    if (order.placement) {
        order.basePlacement = m_basePlacement;
        order.base = m_base;
    }
    order.isWitnessed = action == map_order::kind::Seal || (action == map_order::kind::Arm && rank == witnessedRank());
    m_orders.push_back(std::move(order));
}

std::optional<rank_id> map_switch::witnessedRank() const
{
    if (m_groupSize <= coordinatorModulus || m_holder != holdingRank())
        return std::nullopt;
    return rank_id(static_cast<std::uint32_t>(m_step.value() % coordinatorModulus));
}

std::vector<map_order> map_switch::takeOrders()
{
    return std::exchange(m_orders, {});
}

bool map_switch::begin(const expert_placement& placement, duration copyTime, time_point now)
{
    if (m_stage != stage::Idle || now < m_nextSwitchAt || !isComplete(now) || m_foreignSince)
        return false;
    for (const auto& [rank, status] : m_ranks) {
        if (status.armed || status.held)
            return false;
    }
    const auto base = placementInUse();
    // An agent of an earlier build does not give orders to another rank.
    const bool hasWitness = m_ranks.rbegin()->second.isWitness;
    if (!base || !hasWitness || highestSequence() >= maxMapSequence)
        return false;
    m_version = nextVersion(placement);
    m_placement = std::make_shared<expert_placement>(placement);
    rememberPlacement(m_version, m_placement);
    m_basePlacement = base;
    m_base = m_ranks.begin()->second.map;
    m_copyTime = copyTime;
    m_holdAttempts = 0;
    m_hasResentPrepare = false;
    m_step = {};
    enterStage(stage::Preparing, now);
    for (const auto& [rank, status] : m_ranks)
        queueOrder(map_order::kind::Prepare, rank, m_version, {}, m_placement);
    return true;
}

void map_switch::observePassTime(const rank_status& status)
{
    // Passes of an idle or held group tell nothing of their time.
    constexpr duration maxPassTime = std::chrono::milliseconds(500);
    const std::uint64_t passes = status.step > m_lastStep ? status.step.value() - m_lastStep.value() : 0;
    const duration elapsed = status.receivedAt - m_lastStepAt;
    if (passes == 0)
        return;
    const duration passTime = elapsed / static_cast<std::int64_t>(passes);
    if (passTime <= maxPassTime && !status.held)
        m_passTime = m_passTime == duration {} ? passTime : (m_passTime + passTime) / 2;
    m_lastStep = status.step;
    m_lastStepAt = status.receivedAt;
}

std::uint64_t map_switch::passesAhead() const
{
    if (m_passTime <= duration {})
        return 1;
    // So far ahead that the ranks can confirm before the group reaches the pass.
    const auto passes = static_cast<std::uint64_t>(m_confirmTime / m_passTime) + 1;
    return std::min(passes, maxPassesAhead);
}

void map_switch::startHolding(time_point now)
{
    if (m_stage != stage::Holding)
        m_holdOrderedAt = now;
    std::uint64_t step = std::max(highestStep(), m_step.value()) + passesAhead();
    while (step % coordinatorModulus != m_coordinator.value() % coordinatorModulus || m_requestedHolds.contains({ m_epoch, step_number(step) }))
        ++step;
    m_step = step_number(step);
    m_requestedHolds.insert({ m_epoch, m_step });
    enterStage(stage::Holding, now);
    m_holder = holdingRank();
    queueOrder(map_order::kind::Hold, m_holder, {}, m_step);
}

void map_switch::startArming(time_point now)
{
    m_armedRanks.clear();
    m_armRefusedAt.clear();
    m_isWitnessedArmSent = false;
    enterStage(stage::Arming, now);
    for (const auto& [rank, status] : m_ranks) {
        if (status.armed != m_version && rank != witnessedRank())
            queueOrder(map_order::kind::Arm, rank, m_version, m_step);
    }
    advanceArming(now);
}

void map_switch::armWitnessedRank(time_point now)
{
    const auto rank = witnessedRank();
    if (!rank || m_isWitnessedArmSent || m_armedRanks.contains(*rank) || m_armedRanks.size() + 1 < m_groupSize)
        return;
    // Once its order has been sent, the rank cannot be sealed. It may have failed together with its coordinator.
    // If one has been sent already, the witness knows whether the rank is armed.
    const bool isSealable = !m_unsealableSteps.contains(m_step);
    const bool isKnownReachable = *rank == m_coordinator || m_ranks[*rank].receivedAt > m_stageSince;
    if (isSealable && !isKnownReachable) {
        if (isUnreachable(*rank, now))
            startRollback(now);
        return;
    }
    m_isWitnessedArmSent = true;
    queueOrder(map_order::kind::Arm, *rank, m_version, m_step);
}

void map_switch::adoptSwitch(map_version version, time_point now)
{
    m_version = version;
    m_placement.reset();
    startArming(now);
}

void map_switch::startRelease(time_point now)
{
    if (m_stage == stage::Arming && m_requestedHolds.contains({ m_epoch, m_step }))
        m_confirmTime = (m_confirmTime + (now - m_holdOrderedAt)) / 2;
    enterStage(stage::Releasing, now);
    m_lastSentAt[m_holder] = now;
    queueOrder(map_order::kind::Release, m_holder, {}, m_step);
}

void map_switch::startRollback(time_point now)
{
    m_isForeignRollback = m_stage == stage::Idle;
    const auto held = heldStep();
    if (m_stage == stage::Arming && held && held != m_step) {
        // The pass of this switch has been released, and another switch has begun.
        returnToIdle(shortRetryDelay, now);
        return;
    }
    m_rollbackStep = held ? held : m_stage == stage::Arming ? std::optional(m_step)
                                                            : std::nullopt;
    m_placement.reset();
    // The rank that holds the pass reports the version that ranks may be armed for, so this one is higher.
    if (!updateRollbackPlacement())
        m_rollbackVersion = nextVersion({});
    enterStage(stage::RollingBack, now);
    advanceRollback(now);
}

bool map_switch::updateRollbackPlacement()
{
    const map_version inUse = m_ranks.begin()->second.map;
    if (m_placement && m_base == inUse)
        return true;
    m_placement = placementInUse();
    m_basePlacement = m_placement;
    m_base = inUse;
    // One version stands for one content.
    if (m_placement)
        m_rollbackVersion = nextVersion(*m_placement);
    return m_placement != nullptr;
}

void map_switch::resetIfPaused(time_point now)
{
    const bool wasPaused = now - m_lastRun > maxCallGap;
    m_lastRun = now;
    if (!wasPaused)
        return;
    // Another coordinator may have acted in the meantime, so the present state is treated as a foreign switch.
    m_orders.clear();
    m_foreignSince.reset();
    returnToIdle(shortRetryDelay, now);
}

void map_switch::onOrderResult(const map_order& sent, map_order_result result, time_point now)
{
    resetIfPaused(now);
    if (sent.epoch != m_epoch)
        return;
    const bool isAccepted = result == map_order_result::Accepted;
    if (isAccepted && sent.action == map_order::kind::Prepare && sent.version > m_acceptedVersions[sent.rank].version)
        m_acceptedVersions[sent.rank] = { sent.version, now };
    if (isAccepted && sent.action == map_order::kind::Disarm)
        m_disarmedVersions[sent.rank] = sent.version;
    if (sent.action == map_order::kind::Seal) {
        onSealResult(sent, result, now);
        return;
    }
    if (m_stage == stage::Preparing && sent.action == map_order::kind::Prepare && sent.version == m_version)
        onPrepareResult(sent, result, now);
    else if (m_stage == stage::Holding && sent.action == map_order::kind::Hold && sent.step == m_step)
        onHoldResult(sent, result, now);
    else if (m_stage == stage::Arming && sent.action == map_order::kind::Arm && sent.version == m_version)
        onArmResult(sent, result, now);
    else if (m_stage == stage::RollingBack) {
        m_lastAnswerAt[sent.rank] = now;
        if (isAccepted)
            advanceRollback(now);
    }
}

void map_switch::onPrepareResult(const map_order& sent, map_order_result result, time_point now)
{
    if (result == map_order_result::Unanswered) {
        m_orders.push_back(sent);
        m_hasResentPrepare = true;
        return;
    }
    // A rank that has already prepared the map by a delayed order refuses the resent one.
    const bool isRefused = result == map_order_result::Refused && m_ranks[sent.rank].prepared != m_version;
    if (isRefused && !m_hasResentPrepare)
        returnToIdle(shortRetryDelay, now);
}

void map_switch::onHoldResult(const map_order& sent, map_order_result result, time_point now)
{
    const bool isTimely = now - m_stageSince <= holdTimeout;
    switch (result) {
    case map_order_result::Accepted:
        startArming(now);
        return;
    case map_order_result::Refused:
        if (isTimely && ++m_holdAttempts < maxHoldAttempts)
            startHolding(now);
        else
            returnToIdle(shortRetryDelay, now);
        return;
    case map_order_result::Unanswered:
        if (isTimely)
            m_orders.push_back(sent);
        else
            returnToIdle(longRetryDelay, now);
        return;
    }
}

void map_switch::onArmResult(const map_order& sent, map_order_result result, time_point now)
{
    switch (result) {
    case map_order_result::Accepted:
        m_armedRanks.insert(sent.rank);
        break;
    case map_order_result::Refused:
        m_armRefusedAt.try_emplace(sent.rank, now);
        break;
    case map_order_result::Unanswered:
        if (m_ranks[sent.rank].armed != m_version)
            m_orders.push_back(sent);
        break;
    }
    advanceArming(now);
}

void map_switch::advance(time_point now, bool isInCharge)
{
    resetIfPaused(now);
    updatePlacementInUse(now);
    switch (m_stage) {
    case stage::Idle:
        watchForeignHold(now, isInCharge);
        return;
    case stage::Preparing:
        advancePreparing(now);
        return;
    case stage::Holding:
        advanceHolding(now);
        return;
    case stage::Arming:
        advanceArming(now);
        return;
    case stage::Releasing:
        advanceReleasing(now);
        return;
    case stage::RollingBack:
        advanceRollback(now);
        return;
    }
}

void map_switch::advancePreparing(time_point now)
{
    if (heldStep())
        // Another coordinator's switch comes first, or a late hold of this one.
        returnToIdle(duration {}, now);
    else if (areAllPrepared(m_version) && isComplete(now))
        startHolding(now);
    else if (now - m_stageSince > m_copyTime + prepareSlack)
        returnToIdle(shortRetryDelay, now);
}

void map_switch::advanceHolding(time_point now)
{
    if (heldStep() == m_step)
        startArming(now);
    else if (now - m_stageSince > holdTimeout * 2)
        returnToIdle(longRetryDelay, now);
}

void map_switch::advanceArming(time_point now)
{
    if (hasPassBegun()) {
        // Another coordinator has completed the switch or rolled it back.
        returnToIdle(shortRetryDelay, now);
        return;
    }
    for (const auto& [rank, status] : m_ranks) {
        if (status.armed == m_version)
            m_armedRanks.insert(rank);
    }
    if (m_armedRanks.size() == m_groupSize) {
        startRelease(now);
        return;
    }
    if (now - m_stageSince > armTimeout) {
        startRollback(now);
        return;
    }
    armWitnessedRank(now);
    for (const auto& [rank, refusedAt] : m_armRefusedAt) {
        const bool isReasonKnown = m_ranks[rank].receivedAt > refusedAt || now - refusedAt > refusalReportTimeout;
        if (!m_armedRanks.contains(rank) && isReasonKnown) {
            startRollback(now);
            return;
        }
    }
}

void map_switch::advanceReleasing(time_point now)
{
    const auto known = m_ranks.find(m_holder);
    const bool isReleased = known != m_ranks.end() && known->second.held != m_step && known->second.receivedAt > m_lastSentAt[m_holder];
    if (isReleased || hasPassBegun()) {
        returnToIdle(duration {}, now);
        return;
    }
    if (now - m_lastSentAt[m_holder] >= resendInterval) {
        m_lastSentAt[m_holder] = now;
        queueOrder(map_order::kind::Release, m_holder, {}, m_step);
    }
}

bool map_switch::isUnreachable(rank_id rank, time_point now) const
{
    const auto known = m_ranks.find(rank);
    return known == m_ranks.end() || now - known->second.receivedAt > unreachableTimeout;
}

bool map_switch::sealWitnessedRank(time_point now)
{
    const auto rank = witnessedRank();
    if (!rank || !isUnreachable(*rank, now) || m_sealedSteps.contains(m_step) || m_unsealableSteps.contains(m_step))
        return true;
    if (now - m_sealSentAt >= resendInterval) {
        m_sealSentAt = now;
        queueOrder(map_order::kind::Seal, *rank, {}, m_step);
    }
    return false;
}

void map_switch::onSealResult(const map_order& sent, map_order_result result, time_point now)
{
    if (result == map_order_result::Unanswered)
        return;
    const bool isSealed = result == map_order_result::Accepted;
    (isSealed ? m_sealedSteps : m_unsealableSteps).insert(sent.step);
    if (m_stage != stage::RollingBack || heldStep() != sent.step)
        return;
    if (isSealed) {
        advanceRollback(now);
        return;
    }
    // The witnessed rank has been sent its arm order, so all others were armed.
    if (const auto version = completableVersion())
        adoptSwitch(*version, now);
}

void map_switch::rollBackRank(const rank_status& status, time_point now)
{
    const auto disarmed = m_disarmedVersions.find(status.rank);
    const bool isDisarmed = disarmed != m_disarmedVersions.end() && status.armed == disarmed->second;
    const bool isArmed = status.armed && !isDisarmed;
    // A disarmed rank is made void at once.
    const auto answered = m_lastAnswerAt.find(status.rank);
    const bool isAnswerKnown = answered != m_lastAnswerAt.end() && (status.receivedAt > answered->second || isDisarmed);
    const auto last = m_lastSentAt.find(status.rank);
    if (last != m_lastSentAt.end() && now - last->second < resendInterval && !isAnswerKnown)
        return;
    const bool isSealed = witnessedRank() && m_sealedSteps.contains(m_step);
    const bool isDisarmable = isArmed && (isSealed || std::any_of(m_ranks.begin(), m_ranks.end(), [&](const auto& entry) { return isVoid(entry.second, *status.armed); }));
    if (isArmed && !isDisarmable)
        return;
    if (!isArmed && !updateRollbackPlacement())
        return;
    m_lastAnswerAt.erase(status.rank);
    m_lastSentAt[status.rank] = now;
    if (isArmed)
        queueOrder(map_order::kind::Disarm, status.rank, *status.armed, {});
    else
        queueOrder(map_order::kind::Prepare, status.rank, m_rollbackVersion, {}, m_placement);
}

void map_switch::advanceRollback(time_point now)
{
    const bool isSuperseded = std::any_of(m_ranks.begin(), m_ranks.end(), [&](const auto& entry) {
        return entry.second.armed > m_rollbackVersion;
    });
    if (isSuperseded) {
        // Another coordinator has already rolled this switch back and started a new one.
        returnToIdle(longRetryDelay, now);
        return;
    }
    const auto held = currentHold();
    if (held && held->step != m_rollbackStep) {
        // Ranks may have been armed for this other pass with a version that is higher than that of the rollback.
        returnToIdle(shortRetryDelay, now);
        return;
    }
    if (held) {
        m_step = held->step;
        m_holder = held->rank;
    }
    if (held && areAllArmed()) {
        startRelease(now);
        return;
    }
    if (held && !sealWitnessedRank(now))
        return;
    bool isRolledBack = true;
    for (const auto& [rank, status] : m_ranks) {
        const auto accepted = m_acceptedVersions.find(rank);
        // The answer alone may be wrong: a rank that is armed refuses the order.
        const bool hasAccepted = accepted != m_acceptedVersions.end() && accepted->second.version >= m_rollbackVersion && !status.armed && status.receivedAt > accepted->second.at;
        const bool isSealed = held && rank == witnessedRank() && m_sealedSteps.contains(m_step);
        if (isSealed || hasAccepted || (!status.armed && status.prepared >= m_rollbackVersion))
            continue;
        isRolledBack = false;
        rollBackRank(status, now);
    }
    if (!isRolledBack)
        return;
    // The failure of another coordinator says nothing of the next switch.
    const duration retryDelay = m_isForeignRollback ? shortRetryDelay : longRetryDelay;
    if (held) {
        startRelease(now);
        m_nextSwitchAt = now + retryDelay;
    } else {
        returnToIdle(retryDelay, now);
    }
}

void map_switch::watchForeignHold(time_point now, bool isInCharge)
{
    const auto held = currentHold();
    const bool isAnyArmed = std::any_of(m_ranks.begin(), m_ranks.end(), [](const auto& entry) { return entry.second.armed.has_value(); });
    const bool isUndecided = held || (isAnyArmed && !areAllArmed());
    if (m_ranks.size() != m_groupSize || !isUndecided) {
        m_foreignSince.reset();
        return;
    }
    if (!m_foreignSince || m_foreignStep != heldStep())
        m_foreignSince = now;
    m_foreignStep = heldStep();
    // Coordinators of earlier builds decide alone for a while.
    const bool isDecidedByRanks = held && held->rank == holdingRank();
    // A hold of this coordinator that was carried out after its switch had ended.
    const bool isOwnHold = held && m_requestedHolds.contains({ m_epoch, held->step });
    const duration age = now - *m_foreignSince;
    if (held && (isOwnHold || (isDecidedByRanks && age >= foreignHoldTimeout) || (isInCharge && age >= abandonedSwitchTimeout))) {
        m_foreignSince.reset();
        m_step = held->step;
        m_holder = held->rank;
        resolveHold(now);
    } else if (!held && isInCharge && age >= abandonedSwitchTimeout) {
        m_foreignSince.reset();
        startRollback(now);
    }
}

void map_switch::resolveHold(time_point now)
{
    const auto witnessed = witnessedRank();
    const auto version = completableVersion();
    if (areAllArmed())
        startRelease(now);
    else if (version && !(witnessed && isUnreachable(*witnessed, now)))
        adoptSwitch(*version, now);
    else
        startRollback(now);
}

}
