#include "expert_map/arm_witness.h"
#include "expert_map/map_switch.h"
#include "expert_map/placement_delta.h"
#include "tests/fleet/fake_rank_group.h"

#include <gtest/gtest.h>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace sardinelb::test {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t defaultGroupSize = 4;
constexpr milliseconds passTime { 70 };
constexpr milliseconds reportInterval { 100 };
constexpr milliseconds orderDelay { 2 };
constexpr milliseconds orderTimeout { 100 };
constexpr milliseconds standbyTakeoverDelay { 500 };

// The second standby coordinator learns only through the entries that the two before it have failed, so it waits longer.
constexpr milliseconds secondStandbyTakeoverDelay { 3000 };
constexpr std::uint32_t coordinatorCount = 3;

constexpr milliseconds restartTime { 800 };

// Time for which a paused coordinator stands still.
constexpr milliseconds freezeTime { 3000 };

// Longest time for which several faults may delay the group's next pass. Late orders are carried out after up to 12 s, and the
// coordinators may be frozen or restart in the meantime.
constexpr milliseconds maxRecoveryTime { 9000 };

// Longest time between two passes with one fault: a pass and the longest time for which one may be held.
constexpr milliseconds maxPassGap { 470 };

enum class order_fault {
    None,
    // Not carried out, and no answer.
    Lost,
    // Carried out, and no answer.
    AnswerLost,
    // Carried out some seconds later, and no answer.
    Late,
};

enum class coordinator_fault {
    None,
    // Paused for three seconds after the order was sent.
    Frozen,
    // The same, and its clock stands still meanwhile.
    Suspended,
    // Paused with its machine: the rank beside it cannot be reached, and carries out the orders to it afterwards.
    MachineFrozen,
    // Terminated after the order was sent.
    Killed,
    // All coordinators are terminated after the order was sent, and start again, knowing nothing, after restartTime.
    AllRestarted,
};

// Fault injected at the order with this number, counted over all coordinators.
struct fault {
    std::size_t order = 0;
    order_fault onOrder = order_fault::None;
    coordinator_fault onCoordinator = coordinator_fault::None;
    milliseconds delay { 2500 };
};

// Simulates three coordinators of one group in virtual time. Each is in charge while it hears from no coordinator before it.
class map_switch_simulation {
public:
    explicit map_switch_simulation(std::vector<fault> faults, std::uint32_t groupSize = defaultGroupSize)
        : m_groupSize(groupSize)
        , m_group(groupSize)
        , m_faults(std::move(faults))
    {
        for (std::uint32_t i = 0; i < coordinatorCount; ++i)
            m_coordinators.push_back({ std::make_unique<map_switch>(rank_id(i), groupSize), {}, false, {}, 0, {}, {} });
        at(milliseconds(1), [this] { pass(); });
        at(milliseconds(2), [this] { tick(); });
    }

    void run(milliseconds until)
    {
        while (!m_events.empty() && m_events.begin()->first <= time_point(until)) {
            auto first = m_events.begin();
            m_now = first->first;
            const auto action = std::move(first->second);
            m_events.erase(first);
            action();
            longestPassGap = std::max(longestPassGap, m_now - m_group.lastPass());
        }
    }

    // From now on, one in this many reports of a rank lists its experts; the ranks list them at different times.
    void setReportsPerExpertList(std::uint32_t reports) { m_reportsPerExpertList = reports; }

    // The agent of this rank is down: its reports are read from the runner and list no experts.
    void setAgentDown(rank_id rank) { m_rankWithoutAgent = rank; }

    // From `begin` on, the coordinators do not hear from each other for `length`, but still reach the ranks.
    void partition(duration begin, duration length)
    {
        at(begin, [this, length] { m_partitionedUntil = m_now + length; });
    }

    bool hasMixedMaps = false;
    duration longestPassGap {};
    std::size_t ordersSent = 0;
    std::uint64_t mapInUse() const { return m_group.mapInUse(); }
    duration sinceLastPass() const { return m_now - m_group.lastPass(); }

private:
    struct coordinator {
        std::unique_ptr<map_switch> logic;
        time_point frozenUntil;
        bool isDead = false;
        // Work that arrived while it was frozen.
        std::vector<std::function<void()>> pending;
        std::uint32_t reports = 0;
        // Time for which its clock has stood still.
        duration clockLag {};
        time_point machineFrozenUntil;
    };

    void at(duration delay, std::function<void()> action)
    {
        m_events.emplace(m_now + delay, std::move(action));
    }

    time_point clockOf(std::size_t number) const { return m_now - m_coordinators[number].clockLag; }

    bool isRunning(const coordinator& one) const { return !one.isDead && m_now >= one.frozenUntil; }

    void pass()
    {
        hasMixedMaps = hasMixedMaps || !m_group.beginPass(m_now);
        at(passTime, [this] { pass(); });
    }

    void tick()
    {
        m_witness.onStatus(m_group.status(rank_id(m_groupSize - 1), m_now));
        for (std::size_t i = 0; i < m_coordinators.size(); ++i) {
            if (isRunning(m_coordinators[i]) && m_now >= m_partitionedUntil)
                m_heardAt[i] = m_now;
        }
        for (std::size_t i = 0; i < m_coordinators.size(); ++i)
            run(i, [this, i] { advance(i); });
        at(reportInterval, [this] { tick(); });
    }

    // Runs the work now, or, if the coordinator is frozen, when it resumes. A killed coordinator drops it.
    void run(std::size_t number, std::function<void()> work)
    {
        coordinator& one = m_coordinators[number];
        if (one.isDead)
            return;
        if (isRunning(one)) {
            work();
            return;
        }
        one.pending.push_back(std::move(work));
    }

    // Whether the rank beside a coordinator can be reached from the machine of another one.
    bool isReachable(std::size_t from, rank_id rank) const
    {
        return rank.value() == from || rank.value() >= coordinatorCount || m_now >= m_coordinators[rank.value()].machineFrozenUntil;
    }

    bool isFirstReachable(std::size_t number) const
    {
        for (std::size_t i = 0; i < number; ++i) {
            if (m_now - m_heardAt[i] <= (number == 1 ? standbyTakeoverDelay : secondStandbyTakeoverDelay))
                return false;
        }
        return true;
    }

    void advance(std::size_t number)
    {
        map_switch& logic = *m_coordinators[number].logic;
        ++m_coordinators[number].reports;
        for (std::uint32_t i = 0; i < m_groupSize; ++i) {
            if (!isReachable(number, rank_id(i)))
                continue;
            rank_status status = m_group.status(rank_id(i), m_now);
            status.receivedAt = clockOf(number);
            const bool listsExperts = (m_coordinators[number].reports + i) % m_reportsPerExpertList == 0;
            if (!listsExperts || m_rankWithoutAgent == rank_id(i))
                status.expertsBySet.clear();
            logic.onReport(status);
        }
        for (const rank_id rank : logic.ranksLackingExperts())
            at(orderDelay, [this, number, rank] { run(number, [this, number, rank] { listExperts(number, rank); }); });
        const bool isInCharge = isFirstReachable(number);
        logic.advance(clockOf(number), isInCharge);
        if (isInCharge && logic.currentPlacement(clockOf(number)))
            logic.begin(roundRobinPlacement(1, m_groupSize, m_groupSize), milliseconds(300), clockOf(number));
        sendOrders(number);
    }

    void listExperts(std::size_t number, rank_id rank)
    {
        const rank_status status = m_group.status(rank, m_now);
        m_coordinators[number].logic->onExperts(rank, status.epoch, status.map, status.expertsBySet);
    }

    void sendOrders(std::size_t number)
    {
        for (const map_order& order : m_coordinators[number].logic->takeOrders())
            send(number, order);
    }

    void send(std::size_t number, const map_order& order)
    {
        fault what = faultOf(ordersSent++);
        const auto apply = [this, order] { return order.isWitnessed ? askWitness(order) : m_group.apply(order, m_now); };
        // The machine of the witness is not that of a coordinator.
        if (what.onOrder == order_fault::None && !order.isWitnessed && !isReachable(number, order.rank)) {
            what.onOrder = order_fault::Late;
            what.delay = std::chrono::duration_cast<milliseconds>(m_coordinators[order.rank.value()].machineFrozenUntil - m_now) + orderDelay;
        }
        if (what.onOrder == order_fault::None)
            at(orderDelay, [this, number, order, apply] { answer(number, order, apply()); });
        else if (what.onOrder == order_fault::AnswerLost)
            at(orderDelay, [apply] { apply(); });
        else if (what.onOrder == order_fault::Late)
            at(what.delay, [apply] { apply(); });
        if (what.onOrder != order_fault::None)
            at(orderTimeout, [this, number, order] { answer(number, order, map_order_result::Unanswered); });
        injectCoordinatorFault(number, what.onCoordinator);
    }

    map_order_result askWitness(const map_order& order)
    {
        m_witness.onStatus(m_group.status(rank_id(m_groupSize - 1), m_now));
        if (order.action == map_order::kind::Seal) {
            const auto isSealed = m_witness.seal(order.step);
            return !isSealed ? map_order_result::Unanswered : *isSealed ? map_order_result::Accepted
                                                                        : map_order_result::Refused;
        }
        if (!m_witness.mayArm(order.step, order.version))
            return map_order_result::Refused;
        if (m_witness.isArmed(order.step, order.version))
            return map_order_result::Accepted;
        m_witness.onArmSent(order.step, order.version);
        if (!isReachable(coordinatorCount, order.rank)) {
            at(m_coordinators[order.rank.value()].machineFrozenUntil - m_now, [this, order] { m_group.apply(order, m_now); });
            return map_order_result::Unanswered;
        }
        const map_order_result result = m_group.apply(order, m_now);
        if (result == map_order_result::Accepted)
            m_witness.onArmed(order.step, order.version);
        return result;
    }

    void injectCoordinatorFault(std::size_t number, coordinator_fault what)
    {
        coordinator& one = m_coordinators[number];
        if (what == coordinator_fault::Killed)
            one.isDead = true;
        if (what == coordinator_fault::AllRestarted)
            restartAll();
        if (what != coordinator_fault::Frozen && what != coordinator_fault::Suspended && what != coordinator_fault::MachineFrozen)
            return;
        if (what == coordinator_fault::MachineFrozen)
            one.machineFrozenUntil = m_now + freezeTime;
        one.frozenUntil = m_now + freezeTime;
        if (what == coordinator_fault::Suspended)
            at(freezeTime, [this, number] { m_coordinators[number].clockLag += freezeTime; });
        at(freezeTime, [this, number] { resume(number); });
    }

    void restartAll()
    {
        for (coordinator& each : m_coordinators)
            each.isDead = true;
        m_witness = {};
        at(restartTime, [this] {
            for (std::uint32_t i = 0; i < coordinatorCount; ++i)
                m_coordinators[i] = { std::make_unique<map_switch>(rank_id(i), m_groupSize), {}, false, {}, 0, {}, {} };
        });
    }

    void resume(std::size_t number)
    {
        auto pending = std::exchange(m_coordinators[number].pending, {});
        for (const auto& work : pending)
            run(number, work);
    }

    void answer(std::size_t number, const map_order& order, map_order_result result)
    {
        run(number, [this, number, order, result] {
            m_coordinators[number].logic->onOrderResult(order, result, clockOf(number));
            sendOrders(number);
        });
    }

    fault faultOf(std::size_t order) const
    {
        for (const fault& what : m_faults) {
            if (what.order == order)
                return what;
        }
        return {};
    }

    std::uint32_t m_groupSize;
    fake_rank_group m_group;
    std::vector<fault> m_faults;
    std::vector<coordinator> m_coordinators;
    arm_witness m_witness;
    std::multimap<time_point, std::function<void()>> m_events;
    time_point m_now;
    std::array<time_point, coordinatorCount> m_heardAt {};
    time_point m_partitionedUntil;
    std::uint32_t m_reportsPerExpertList = 1;
    std::optional<rank_id> m_rankWithoutAgent;
};

// Orders of the first two switches; each takes 4 prepare, 1 hold, 4 arm and 1 release orders.
constexpr std::size_t ordersOfTwoSwitches = 20;

std::vector<fault> allFaultsAt(std::size_t order)
{
    std::vector<fault> faults;
    for (const auto onOrder : { order_fault::None, order_fault::Lost, order_fault::AnswerLost, order_fault::Late }) {
        for (const auto onCoordinator : { coordinator_fault::None, coordinator_fault::Frozen, coordinator_fault::Killed })
            faults.push_back({ order, onOrder, onCoordinator, milliseconds(2500) });
    }
    return faults;
}

std::string describe(const std::vector<fault>& faults)
{
    std::string text;
    for (const fault& one : faults)
        text += " order " + std::to_string(one.order) + " fault " + std::to_string(static_cast<int>(one.onOrder)) + " coordinator " + std::to_string(static_cast<int>(one.onCoordinator));
    return text;
}

// Whether the arm order of the coordinator's own rank, the last one of a switch, is in flight when the fault comes. If that rank
// cannot be reached from then on, nobody can know whether it is armed, and the pass must be held until it is reached.
bool isDuringOwnArming(const fault& what, std::uint32_t groupSize)
{
    const std::size_t ordersBeforeOwnArming = std::size_t { 2 } * groupSize;
    return what.order % (ordersBeforeOwnArming + 2) == ordersBeforeOwnArming;
}

milliseconds maxPassGapAfter(const std::vector<fault>& faults, std::uint32_t groupSize)
{
    if (faults.size() > 1)
        return maxRecoveryTime;
    const bool isRankUnknown = faults.front().onCoordinator == coordinator_fault::MachineFrozen && isDuringOwnArming(faults.front(), groupSize);
    return isRankUnknown ? freezeTime + maxPassGap : maxPassGap;
}

void expectRecovery(const std::vector<fault>& faults, std::uint32_t groupSize = defaultGroupSize)
{
    map_switch_simulation simulation(faults, groupSize);
    simulation.run(milliseconds(20000));
    EXPECT_FALSE(simulation.hasMixedMaps) << describe(faults);
    EXPECT_LE(simulation.longestPassGap, maxPassGapAfter(faults, groupSize)) << describe(faults);
    EXPECT_LE(simulation.sinceLastPass(), milliseconds(1000)) << describe(faults);
    EXPECT_GT(simulation.mapInUse(), 0U) << describe(faults);
}

}

class map_switch_fault : public testing::Test { };

TEST_F(map_switch_fault, switchWithoutFaults_manySwitches_noPassWaits)
{
    map_switch_simulation simulation({});
    simulation.run(milliseconds(20000));
    EXPECT_FALSE(simulation.hasMixedMaps);
    EXPECT_GT(simulation.mapInUse(), 10U);
    EXPECT_LE(simulation.longestPassGap, passTime + passTime);
}

// Guards against ranks with different maps, or a blocked group, after a lost, unanswered or late order or a stopped
// coordinator at any point of a switch.
TEST_F(map_switch_fault, switchWithOneFault_everyFaultAtEveryOrder_ranksAgree)
{
    for (std::size_t order = 0; order < ordersOfTwoSwitches; ++order) {
        for (fault one : allFaultsAt(order)) {
            expectRecovery({ one });
            one.onCoordinator = coordinator_fault::Suspended;
            expectRecovery({ one });
            one.onCoordinator = coordinator_fault::MachineFrozen;
            expectRecovery({ one });
        }
    }
}

// The same for the groups of large fleets, at some of the orders of the first switch: each of the prepare and arm orders to the
// ranks is handled alike, and the hold and the release are among them.
TEST_F(map_switch_fault, largeGroups_faultsAtSomeOrders_ranksAgree)
{
    for (const std::uint32_t size : { 8U, 32U, 96U }) {
        for (const std::size_t order : { std::size_t { 0 }, std::size_t { size / 2 }, std::size_t { size }, std::size_t { size + 1 }, std::size_t { 2 * size + 1 } }) {
            for (fault one : allFaultsAt(order)) {
                expectRecovery({ one }, size);
                one.onCoordinator = coordinator_fault::Suspended;
                expectRecovery({ one }, size);
                one.onCoordinator = coordinator_fault::MachineFrozen;
                expectRecovery({ one }, size);
            }
        }
    }
}

// Guards against pairs of faults that are each handled alone but not together, such as a late order during a takeover.
TEST_F(map_switch_fault, switchWithTwoFaults_everyPairOfFaults_ranksAgree)
{
    for (std::size_t first = 0; first < ordersOfTwoSwitches / 2; ++first) {
        for (std::size_t second = first + 1; second < ordersOfTwoSwitches; ++second) {
            for (const fault& a : allFaultsAt(first)) {
                for (const fault& b : allFaultsAt(second))
                    expectRecovery({ a, b });
            }
        }
    }
}

// Guards against failures over a long period in which many orders are carried out late and the coordinator is paused.
TEST_F(map_switch_fault, switchUnderManyLateOrders_randomHistories_ranksAgree)
{
    for (std::uint32_t seed = 1; seed <= 2000; ++seed) {
        std::mt19937 random(seed);
        std::vector<fault> faults;
        for (std::size_t order = 0; order < 120; ++order) {
            if (random() % 100 >= 35)
                continue;
            fault one { order, static_cast<order_fault>(1 + random() % 3), coordinator_fault::None, milliseconds(2000 + random() % 10000) };
            if (random() % 20 == 0)
                one.onCoordinator = random() % 2 == 0 ? coordinator_fault::Frozen : random() % 2 == 0 ? coordinator_fault::Suspended
                                                                                                      : coordinator_fault::MachineFrozen;
            faults.push_back(one);
        }
        map_switch_simulation simulation(faults);
        if (seed % 3 == 0)
            simulation.partition(milliseconds(random() % 8000), milliseconds(1000 + random() % 6000));
        simulation.run(milliseconds(40000));
        ASSERT_FALSE(simulation.hasMixedMaps) << "seed " << seed;
        EXPECT_LE(simulation.sinceLastPass(), milliseconds(1000)) << "seed " << seed;
    }
}

// Guards against a group that stands still after all processes were killed during a switch: the new coordinators know the
// experts of some ranks only, and ranks refuse a map that lacks ranks.
TEST_F(map_switch_fault, allCoordinatorsRestart_expertsListedLate_ranksAgree)
{
    for (const std::uint32_t size : { 8U, 32U, 96U }) {
        for (const std::size_t order : { std::size_t { 0 }, std::size_t { size / 2 }, std::size_t { size }, std::size_t { size + 1 }, std::size_t { size + size / 2 }, std::size_t { 2 * size + 1 } }) {
            for (const auto onOrder : { order_fault::None, order_fault::Lost, order_fault::AnswerLost, order_fault::Late }) {
                const std::vector<fault> faults { { order, onOrder, coordinator_fault::AllRestarted, milliseconds(2500) } };
                map_switch_simulation simulation(faults, size);
                simulation.setReportsPerExpertList(20);
                simulation.run(milliseconds(20000));
                EXPECT_FALSE(simulation.hasMixedMaps) << size << describe(faults);
                EXPECT_LE(simulation.longestPassGap, maxRecoveryTime) << size << describe(faults);
                EXPECT_LE(simulation.sinceLastPass(), milliseconds(1000)) << size << describe(faults);
                EXPECT_GT(simulation.mapInUse(), 0U) << size << describe(faults);
            }
        }
    }
}

// The same while the agent of a rank is down, so that only the runner itself can tell which experts the rank holds.
TEST_F(map_switch_fault, allCoordinatorsRestart_agentOfARankDown_passReleased)
{
    for (std::size_t order = 0; order < ordersOfTwoSwitches / 2; ++order) {
        const std::vector<fault> faults { { order, order_fault::None, coordinator_fault::AllRestarted, {} } };
        map_switch_simulation simulation(faults);
        simulation.run(milliseconds(1));
        simulation.setReportsPerExpertList(5);
        simulation.run(milliseconds(900));
        simulation.setAgentDown(rank_id(2));
        simulation.run(milliseconds(12000));
        EXPECT_FALSE(simulation.hasMixedMaps) << describe(faults);
        EXPECT_LE(simulation.longestPassGap, maxRecoveryTime) << describe(faults);
        EXPECT_LE(simulation.sinceLastPass(), milliseconds(1000)) << describe(faults);
    }
}

}
