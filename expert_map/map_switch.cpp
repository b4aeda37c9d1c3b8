#include "expert_map/map_switch.h"

#include <algorithm>
#include <utility>

namespace sardinelb {

namespace {

// A rank that has not reported for this long is not known well enough to start a switch.
constexpr duration reportLifetime = std::chrono::milliseconds(600);

// Passes between the newest one reported and the one that is held. A pass that waits for its release costs some ms, a hold
// that comes too late only another try.
constexpr std::uint64_t passesAhead = 1;
constexpr std::uint32_t mostHoldTries = 4;

// Coordinators on neighbouring ranks use different versions and hold different passes, so that none takes what another one
// did for its own.
constexpr std::uint64_t coordinatorClasses = 3;

// Time in which rank 0 must confirm its hold, and all ranks that they are armed. Orders that go unanswered are sent again
// meanwhile: every order names its map or pass, so that a repetition changes nothing.
constexpr duration holdTime = std::chrono::milliseconds(300);
constexpr duration armTime = std::chrono::milliseconds(500);
constexpr duration repeatAfter = std::chrono::milliseconds(120);

// advance() is called ten times a second; after a longer pause the process was stopped.
constexpr duration longestRest = std::chrono::milliseconds(400);

// Time beyond the copying that ranks may need to report a map as prepared.
constexpr duration prepareSlack = std::chrono::milliseconds(1500);

// Longer than another coordinator needs from its hold to its release or to taking back its switch.
constexpr duration foreignHoldTime = std::chrono::milliseconds(1300);

constexpr duration shortPause = std::chrono::milliseconds(500);
// After an order went unanswered: others will too, for some seconds.
constexpr duration longPause = std::chrono::seconds(3);

constexpr rank_id holder { 0 };

}

map_switch::map_switch(rank_id coordinator, std::uint32_t groupSize)
    : m_coordinator(coordinator)
    , m_groupSize(groupSize)
{
}

void map_switch::report(const rank_status& status)
{
    if (status.epoch < m_epoch)
        return;
    if (status.epoch > m_epoch) {
        // The group formed anew: nothing of before is prepared, armed or held any longer.
        m_epoch = status.epoch;
        m_ranks.clear();
        m_stage = stage::Idle;
        m_foreignSince.reset();
        m_orders.clear();
        m_holds.clear();
    }
    rank_status& known = m_ranks[status.rank];
    auto experts = known.map == status.map ? std::move(known.experts) : decltype(known.experts) {};
    known = status;
    // A report that was read from afar does not list the experts.
    if (known.experts.empty())
        known.experts = std::move(experts);
}

bool map_switch::isComplete(time_point now) const
{
    if (m_ranks.size() != m_groupSize)
        return false;
    return std::all_of(m_ranks.begin(), m_ranks.end(), [&](const auto& entry) {
        return entry.second.isOpen && now - entry.second.receivedAt <= reportLifetime;
    });
}

std::uint64_t map_switch::highestVersion() const
{
    std::uint64_t highest = m_highestUsed;
    for (const auto& [rank, status] : m_ranks) {
        highest = std::max(highest, status.map.value());
        highest = std::max(highest, status.prepared.value_or(map_version {}).value());
        highest = std::max(highest, status.armed.value_or(map_version {}).value());
    }
    return highest;
}

map_version map_switch::nextVersion()
{
    std::uint64_t version = highestVersion() + 1;
    while (version % coordinatorClasses != m_coordinator.value() % coordinatorClasses)
        ++version;
    m_highestUsed = version;
    return map_version(version);
}

std::uint64_t map_switch::highestStep() const
{
    std::uint64_t highest = 0;
    for (const auto& [rank, status] : m_ranks)
        highest = std::max(highest, status.step.value());
    return highest;
}

std::optional<step_number> map_switch::heldStep() const
{
    const auto found = m_ranks.find(holder);
    return found == m_ranks.end() ? std::nullopt : found->second.held;
}

bool map_switch::allPrepared(map_version version) const
{
    return std::all_of(m_ranks.begin(), m_ranks.end(), [&](const auto& entry) { return entry.second.prepared == version; });
}

bool map_switch::areAllArmed() const
{
    if (m_ranks.empty() || !m_ranks.begin()->second.armed)
        return false;
    const auto& first = m_ranks.begin()->second.armed;
    return std::all_of(m_ranks.begin(), m_ranks.end(), [&](const auto& entry) { return entry.second.armed == first; });
}

std::shared_ptr<const expert_placement> map_switch::placementInUse() const
{
    auto placement = std::make_shared<expert_placement>();
    for (const auto& [rank, status] : m_ranks) {
        placement->sets.resize(status.experts.size());
        for (std::size_t set = 0; set < status.experts.size(); ++set)
            placement->sets[set].push_back(status.experts[set]);
    }
    return placement;
}

std::optional<expert_placement> map_switch::currentPlacement(time_point now) const
{
    if (m_stage != stage::Idle || !isComplete(now))
        return std::nullopt;
    const rank_status& first = m_ranks.begin()->second;
    for (const auto& [rank, status] : m_ranks) {
        if (status.map != first.map || status.experts.empty() || status.experts.size() != first.experts.size())
            return std::nullopt;
    }
    return *placementInUse();
}

void map_switch::enter(stage next, time_point now)
{
    m_stage = next;
    m_stageSince = now;
    m_lastTry.clear();
    m_lastAnswer.clear();
}

void map_switch::abandon(duration pause, time_point now)
{
    enter(stage::Idle, now);
    m_notBefore = now + pause;
}

void map_switch::order(map_order::kind action, rank_id rank, map_version version, step_number step, std::shared_ptr<const expert_placement> placement)
{
    m_orders.push_back({ action, rank, m_epoch, version, step, std::move(placement) });
}

std::vector<map_order> map_switch::takeOrders()
{
    return std::exchange(m_orders, {});
}

bool map_switch::begin(const expert_placement& placement, duration copyTime, time_point now)
{
    if (m_stage != stage::Idle || now < m_notBefore || !isComplete(now) || m_foreignSince)
        return false;
    for (const auto& [rank, status] : m_ranks) {
        if (status.armed || status.held)
            return false;
    }
    m_version = nextVersion();
    m_placement = std::make_shared<expert_placement>(placement);
    m_copyTime = copyTime;
    m_holdTries = 0;
    m_isRepeated = false;
    m_step = {};
    enter(stage::Preparing, now);
    for (const auto& [rank, status] : m_ranks)
        order(map_order::kind::Prepare, rank, m_version, {}, m_placement);
    return true;
}

void map_switch::startHolding(time_point now)
{
    std::uint64_t step = std::max(highestStep(), m_step.value()) + passesAhead;
    while (step % coordinatorClasses != m_coordinator.value() % coordinatorClasses)
        ++step;
    m_step = step_number(step);
    m_holds.insert(m_step);
    enter(stage::Holding, now);
    order(map_order::kind::Hold, holder, {}, m_step);
}

void map_switch::startArming(time_point now)
{
    m_armed.clear();
    enter(stage::Arming, now);
    for (const auto& [rank, status] : m_ranks)
        order(map_order::kind::Arm, rank, m_version, m_step);
}

void map_switch::startRelease(time_point now)
{
    enter(stage::Releasing, now);
    m_lastTry[holder] = now;
    order(map_order::kind::Release, holder, {}, m_step);
}

void map_switch::startTakingBack(time_point now)
{
    m_voidVersion = nextVersion();
    m_placement = placementInUse();
    enter(stage::RollingBack, now);
    advanceTakingBack(now);
}

void map_switch::forgetIfStopped(time_point now)
{
    const bool wasStopped = now - m_lastRun > longestRest;
    m_lastRun = now;
    if (!wasStopped)
        return;
    // Another coordinator may have acted meanwhile. What stands now is watched like a switch of its own.
    m_holds.clear();
    m_orders.clear();
    m_foreignSince.reset();
    abandon(shortPause, now);
}

void map_switch::onOrderResult(const map_order& sent, map_order_result result, time_point now)
{
    forgetIfStopped(now);
    if (sent.epoch != m_epoch)
        return;
    if (m_stage == stage::Preparing && sent.action == map_order::kind::Prepare && sent.version == m_version)
        prepareAnswered(sent, result, now);
    else if (m_stage == stage::Holding && sent.action == map_order::kind::Hold && sent.step == m_step)
        holdAnswered(sent, result, now);
    else if (m_stage == stage::Arming && sent.action == map_order::kind::Arm && sent.version == m_version)
        armAnswered(sent, result, now);
    else if (m_stage == stage::RollingBack)
        m_lastAnswer[sent.rank] = now;
}

void map_switch::prepareAnswered(const map_order& sent, map_order_result result, time_point now)
{
    if (result == map_order_result::Unanswered) {
        m_orders.push_back(sent);
        m_isRepeated = true;
        return;
    }
    // A rank that has prepared the map after a late order refuses the repetition.
    const bool isRefused = result == map_order_result::Refused && m_ranks[sent.rank].prepared != m_version;
    if (isRefused && !m_isRepeated)
        abandon(shortPause, now);
}

void map_switch::holdAnswered(const map_order& sent, map_order_result result, time_point now)
{
    // A coordinator that was stopped for a while may have been replaced.
    const bool isTimely = now - m_stageSince <= holdTime;
    switch (result) {
    case map_order_result::Accepted:
        if (isTimely)
            startArming(now);
        else
            abandon(longPause, now);
        return;
    case map_order_result::Refused:
        if (isTimely && ++m_holdTries < mostHoldTries)
            startHolding(now);
        else
            abandon(shortPause, now);
        return;
    case map_order_result::Unanswered:
        if (isTimely)
            m_orders.push_back(sent);
        else
            abandon(longPause, now);
        return;
    }
}

void map_switch::armAnswered(const map_order& sent, map_order_result result, time_point now)
{
    const bool isTimely = now - m_stageSince <= armTime;
    if (result == map_order_result::Unanswered && isTimely) {
        m_orders.push_back(sent);
        return;
    }
    if (result != map_order_result::Accepted || !isTimely) {
        startTakingBack(now);
        return;
    }
    m_armed.insert(sent.rank);
    if (m_armed.size() == m_groupSize)
        startRelease(now);
}

void map_switch::advance(time_point now, bool isLeading)
{
    forgetIfStopped(now);
    switch (m_stage) {
    case stage::Idle:
        watchForeignHold(now, isLeading);
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
        advanceTakingBack(now);
        return;
    }
}

void map_switch::advancePreparing(time_point now)
{
    if (allPrepared(m_version) && isComplete(now))
        startHolding(now);
    else if (now - m_stageSince > m_copyTime + prepareSlack)
        abandon(shortPause, now);
}

void map_switch::advanceHolding(time_point now)
{
    if (now - m_stageSince > holdTime * 2)
        abandon(longPause, now);
}

void map_switch::advanceArming(time_point now)
{
    if (now - m_stageSince > armTime)
        startTakingBack(now);
}

void map_switch::advanceReleasing(time_point now)
{
    const auto known = m_ranks.find(holder);
    const bool isReleased = known != m_ranks.end() && known->second.held != m_step && known->second.receivedAt > m_lastTry[holder];
    if (isReleased) {
        abandon(duration {}, now);
        return;
    }
    if (now - m_lastTry[holder] >= repeatAfter) {
        m_lastTry[holder] = now;
        order(map_order::kind::Release, holder, {}, m_step);
    }
}

void map_switch::takeBack(const rank_status& status, time_point now)
{
    const auto answered = m_lastAnswer.find(status.rank);
    const bool isAnswerKnown = answered != m_lastAnswer.end() && status.receivedAt > answered->second;
    const auto last = m_lastTry.find(status.rank);
    if (last != m_lastTry.end() && now - last->second < repeatAfter && !isAnswerKnown)
        return;
    m_lastAnswer.erase(status.rank);
    m_lastTry[status.rank] = now;
    if (status.armed)
        order(map_order::kind::Disarm, status.rank, *status.armed, {});
    else
        order(map_order::kind::Prepare, status.rank, m_voidVersion, {}, m_placement);
}

void map_switch::advanceTakingBack(time_point now)
{
    bool isVoid = true;
    const bool isOvertaken = std::any_of(m_ranks.begin(), m_ranks.end(), [&](const auto& entry) {
        return entry.second.armed > m_voidVersion;
    });
    if (isOvertaken) {
        // Another coordinator has taken the switch back before and has begun a new one.
        abandon(longPause, now);
        return;
    }
    for (const auto& [rank, status] : m_ranks) {
        // Reports of before this stage do not show what late orders did.
        const bool isFresh = status.receivedAt > m_stageSince;
        if (isFresh && !status.armed && status.prepared >= m_voidVersion)
            continue;
        isVoid = false;
        if (isFresh)
            takeBack(status, now);
    }
    if (!isVoid)
        return;
    if (const auto held = heldStep()) {
        m_step = *held;
        startRelease(now);
        m_notBefore = now + longPause;
    } else {
        abandon(longPause, now);
    }
}

void map_switch::watchForeignHold(time_point now, bool isLeading)
{
    const auto held = heldStep();
    // A hold of this coordinator that was carried out after its switch ended: the ranks were armed all or not at all.
    if (held && m_holds.contains(*held) && isLeading) {
        m_step = *held;
        startRelease(now);
        m_notBefore = now + longPause;
        return;
    }
    const bool isAnyArmed = std::any_of(m_ranks.begin(), m_ranks.end(), [](const auto& entry) { return entry.second.armed.has_value(); });
    if (!isComplete(now) || (!held && (!isAnyArmed || areAllArmed()))) {
        m_foreignSince.reset();
        return;
    }
    if (!m_foreignSince)
        m_foreignSince = now;
    if (now - *m_foreignSince < foreignHoldTime || !isLeading)
        return;
    m_foreignSince.reset();
    if (held)
        m_step = *held;
    if (held && areAllArmed())
        startRelease(now);
    else
        startTakingBack(now);
}

}
