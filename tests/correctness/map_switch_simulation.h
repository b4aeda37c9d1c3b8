#pragma once

#include "coordination/maps/map_rows.h"
#include "coordination/maps/map_switch_coordinator.h"
#include "coordination/maps/map_switch_rank.h"
#include "tests/stand_ins/memory_table.h"
#include "tests/stand_ins/virtual_schedule.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace sardinelb::map_switch_simulation {

using std::chrono::milliseconds;

// Points of a switch at which a fault can be injected.
enum class stage { Lease,
    Proposal,
    Prepare,
    Prepared,
    Decision,
    Broadcast,
    FirstStep };
constexpr std::array stageNames { "lease", "proposal", "prepare", "prepared", "decision", "broadcast", "first-step" };

enum class fault {
    MessageLost,
    MessageLate,
    MessageDuplicated,
    RankStalls,
    RankDies,
    RankRestarts,
    RankReplacedWhileStalled,
    GroupRestarts,
    CoordinatorPaused,
    CoordinatorReplaced,
    TableDown,
    WriteAnswerLost,
    WriteLate,
};
constexpr std::array faultNames { "message-lost", "message-late", "message-duplicated", "rank-stalls", "rank-dies",
    "rank-restarts", "rank-replaced-while-stalled", "group-restarts", "coordinator-paused", "coordinator-replaced", "table-down",
    "write-answer-lost", "write-late" };

constexpr std::uint32_t rankCount = 3;
constexpr std::uint32_t expertCount = 2;
constexpr duration stepDuration = milliseconds(10);
constexpr duration stepRequestInterval = milliseconds(4);
constexpr duration leaseDuration = milliseconds(250);
constexpr duration leaseRenewalInterval = milliseconds(60);
// Longer than a lease, so that a paused holder resumes after its successor has acquired the lease.
constexpr duration pauseDuration = milliseconds(600);
constexpr duration tableTimeout = milliseconds(80);

inline const group_id& groupName()
{
    static const group_id name("g");
    return name;
}

inline map_switch_settings switchSettings()
{
    map_switch_settings settings;
    settings.group = groupName();
    settings.rankCount = rankCount;
    settings.prepareTimeout = milliseconds(400);
    settings.resendInterval = milliseconds(40);
    settings.tableRetryInterval = milliseconds(30);
    settings.decisionPollInterval = milliseconds(60);
    return settings;
}

// Execution state of a simulated process.
struct process {
    bool isAlive = true;
    time_point pausedUntil {};
};

struct coordinator_process : process {
    explicit coordinator_process(const daemon_id& id)
        : name(id)
        , machine(switchSettings(), id)
    {
    }

    daemon_id name;
    map_switch_coordinator machine;
    // The lease as known to this process. The fencing number is 0 while it does not hold the lease.
    fencing_number fencing;
    time_point confirmedAt {};
    row_revision seenRevision;
    time_point seenSince {};
};

struct rank_process : process {
    rank_process(rank_id index, incarnation number)
        : rank(index)
        , machine(switchSettings(), index, number)
    {
    }

    rank_id rank;
    map_switch_rank machine;
    std::set<map_version> loading;
    std::set<map_version> loaded;
};

// Simulates a group that executes steps in lock-step, coordinators that compete for the lease, the table and the
// network in virtual time. Checks every completed step and records violations.
class simulation {
public:
    explicit simulation(std::uint64_t seed)
        : m_random(seed)
    {
        for (std::uint32_t rank = 0; rank < rankCount; ++rank)
            joinGroup(startRank(rank_id(rank)));
        startCoordinator();
        startCoordinator();
    }

    // Injects the fault when a switch to this or a later version reaches the stage.
    void arm(fault kind, stage where, map_version version) { m_armed.push_back({ kind, where, version }); }

    void inject(fault kind) { inject(kind, nullptr); }

    // Runs until the time limit, or until a switch that was proposed after all armed faults had healed completes.
    // Returns whether such a switch completed.
    bool runUntilSettled(time_point limit)
    {
        while (schedule.now() < limit && runNext()) {
            const bool isOver = m_armed.empty() && m_messageFaultsLeft == 0 && m_writeFaultsLeft == 0;
            if (isOver && !m_settledVersion && schedule.now() >= m_healedAt)
                m_settledVersion = map_version(newestProposal().value() + 1);
            if (m_settledVersion && m_lastVersion >= *m_settledVersion)
                return true;
        }
        return false;
    }

    void runUntil(time_point limit)
    {
        while (schedule.now() < limit && runNext()) { }
    }

    // Compares the completed steps with a sequential reference model: reads the rows in the order in which they were
    // written and expects each step to use the newest committed map whose first step is not later.
    void compareWithReference()
    {
        std::map<map_version, step_number> commits;
        std::set<map_version> decidedVersions;
        for (const table_row& row : table.log()) {
            if (!isMapDecisionKey(groupName(), row.key))
                continue;
            const map_decision decision = parseMapDecision(row.key, row.value).value();
            check(decidedVersions.insert(decision.version).second, "second decision", decision.version.value());
            if (decision.outcome == map_outcome::Commit)
                commits[decision.version] = decision.firstStep;
        }
        for (const auto& [step, version] : completed) {
            map_version expected;
            for (const auto& [committed, firstStep] : commits)
                if (firstStep <= step)
                    expected = committed;
            check(version == expected, "map differs from the reference model in step", step.value());
        }
    }

    std::size_t decisions(map_outcome outcome) const
    {
        return std::ranges::count_if(table.log(), [&](const table_row& row) {
            return isMapDecisionKey(groupName(), row.key)
                && parseMapDecision(row.key, row.value).value().outcome == outcome;
        });
    }

    virtual_schedule schedule;
    memory_table table;
    std::vector<std::string> violations;
    std::map<step_number, map_version> completed;
    // Number of times that an injected fault took effect.
    int injected = 0;

private:
    struct armed_fault {
        fault kind;
        stage where;
        map_version version;
    };

    bool runNext() { return violations.empty() && schedule.runNext(); }

    std::uint64_t draw(std::uint64_t low, std::uint64_t high)
    {
        return std::uniform_int_distribution<std::uint64_t>(low, high)(m_random);
    }

    duration drawMilliseconds(std::uint64_t low, std::uint64_t high) { return milliseconds(draw(low, high)); }

    void check(bool holds, const std::string& what, std::uint64_t number)
    {
        if (!holds)
            violations.push_back(what + " " + std::to_string(number));
    }

    // Runs the callback in the process: never if the process has died, and after the pause if it is paused.
    void runInProcess(const std::shared_ptr<process>& target, std::function<void()> callback)
    {
        if (!target->isAlive)
            return;
        if (schedule.now() < target->pausedUntil)
            schedule.at(target->pausedUntil, [=, this] { runInProcess(target, callback); });
        else
            callback();
    }

    void pause(process& target)
    {
        target.pausedUntil = schedule.now() + pauseDuration;
        recordFault(pauseDuration);
    }

    void recordFault(duration delay)
    {
        ++injected;
        m_healedAt = std::max(m_healedAt, schedule.now() + delay);
    }

    // Faults.

    void injectDueFaults(stage where, map_version version, rank_process* rank = nullptr)
    {
        const auto isDue = [&](const armed_fault& armed) { return armed.where == where && armed.version <= version; };
        const std::vector<armed_fault> armed = m_armed;
        std::erase_if(m_armed, isDue);
        for (const armed_fault& due : armed)
            if (isDue(due))
                inject(due.kind, rank);
    }

    void inject(fault kind, rank_process* rank)
    {
        const auto victim = rank && draw(0, 1) ? rank->rank : rank_id(draw(0, rankCount - 1));
        const std::shared_ptr<rank_process> member = m_members[victim.value()];
        switch (kind) {
        case fault::MessageLost:
        case fault::MessageLate:
        case fault::MessageDuplicated:
            m_messageFault = kind;
            m_messageFaultsLeft = draw(1, 6);
            break;
        case fault::RankStalls:
            pause(*member);
            break;
        case fault::RankDies:
            killRank(victim, milliseconds(200));
            break;
        case fault::RankRestarts:
            killRank(victim, milliseconds(1));
            break;
        case fault::GroupRestarts:
            for (std::uint32_t index = 0; index < rankCount; ++index)
                killRank(rank_id(index), drawMilliseconds(1, 50));
            break;
        case fault::RankReplacedWhileStalled:
            pause(*member);
            member->pausedUntil -= drawMilliseconds(0, 500);
            replaceRank(victim, drawMilliseconds(1, 100), drawMilliseconds(0, 900));
            break;
        case fault::CoordinatorPaused:
            if (const auto active = activeCoordinator())
                pause(*active);
            break;
        case fault::CoordinatorReplaced:
            if (const auto active = activeCoordinator()) {
                active->isAlive = false;
                recordFault({});
                schedule.after(milliseconds(100), [this] { startCoordinator(); });
            }
            break;
        case fault::TableDown:
            m_tableDownUntil = schedule.now() + milliseconds(300);
            recordFault(milliseconds(300));
            break;
        case fault::WriteAnswerLost:
        case fault::WriteLate:
            m_writeFault = kind;
            m_writeFaultsLeft = draw(1, 3);
            break;
        }
    }

    void killRank(rank_id rank, duration startDelay)
    {
        m_members[rank.value()]->isAlive = false;
        replaceRank(rank, startDelay, {});
    }

    void replaceRank(rank_id rank, duration startDelay, duration joinDelay)
    {
        recordFault(startDelay + joinDelay);
        schedule.after(startDelay, [=, this] {
            const std::shared_ptr<rank_process> newcomer = startRank(rank);
            schedule.after(joinDelay, [=, this] { joinGroup(newcomer); });
        });
    }

    std::shared_ptr<coordinator_process> activeCoordinator()
    {
        std::shared_ptr<coordinator_process> active;
        for (const auto& candidate : m_coordinators)
            if (candidate->isAlive && candidate->fencing > fencing_number()
                && (!active || candidate->fencing > active->fencing))
                active = candidate;
        return active ? active : m_coordinators.back();
    }

    // Table.

    // Applies the transaction and checks that only the lease holder writes proposals and decisions.
    state_result<row_revision> transact(const process* caller, const table_transaction& transaction)
    {
        const auto result = table.transact(transaction);
        const std::string& key = transaction.puts.front().first;
        if (result.has_value() && (isMapProposalKey(groupName(), key) || isMapDecisionKey(groupName(), key))) {
            const std::string lease = mapLeaseKey(groupName());
            const std::string holder = table.readRange(lease, lease + '\0', 1).front().value;
            const std::string writer = static_cast<const coordinator_process*>(caller)->name.value();
            check(holder.ends_with(" " + writer), "row written without the lease, revision", result.value().value());
        }
        return result;
    }

    // Calls `onWriteResult` or `onRowsRead` in the process with the result of the request.
    void accessTable(const std::shared_ptr<process>& caller, const map_table_request& request,
        std::function<void(const state_result<row_revision>&)> onWriteResult,
        std::function<void(const state_result<std::vector<table_row>>&)> onRowsRead)
    {
        const auto reply = [=, this](duration delay, auto callback, auto result) {
            schedule.after(delay, [=, this] { runInProcess(caller, [=] { callback(result); }); });
        };
        schedule.after(drawMilliseconds(1, 3), [=, this] {
            const bool isDown = schedule.now() < m_tableDownUntil;
            const state_error unavailable { state_errc::Unavailable, "table", "unavailable" };
            const state_error unknown { state_errc::OutcomeUnknown, "table", "no answer" };
            if (request.access == map_table_request::kind::ReadRange) {
                const auto rows = table.readRange(request.from, request.to, request.limit);
                reply(milliseconds(1), onRowsRead,
                    isDown ? state_result<std::vector<table_row>>(unavailable) : state_result<std::vector<table_row>>(rows));
            } else if (isDown) {
                reply(milliseconds(1), onWriteResult, state_result<row_revision>(unavailable));
            } else if (m_writeFaultsLeft > 0) {
                --m_writeFaultsLeft;
                recordFault(tableTimeout);
                const duration delay = m_writeFault == fault::WriteLate ? drawMilliseconds(0, 300) : duration {};
                schedule.after(delay, [=, this] { (void)transact(caller.get(), request.transaction); });
                reply(tableTimeout, onWriteResult, state_result<row_revision>(unknown));
            } else {
                reply(milliseconds(1), onWriteResult, transact(caller.get(), request.transaction));
            }
        });
    }

    // Network.

    void send(const std::shared_ptr<process>& receiver, std::function<void()> handler)
    {
        const auto deliver = [=, this](duration delay) {
            schedule.after(delay, [=, this] { runInProcess(receiver, handler); });
        };
        const duration latency = drawMilliseconds(1, 4);
        if (m_messageFaultsLeft == 0) {
            deliver(latency);
            return;
        }
        --m_messageFaultsLeft;
        recordFault(milliseconds(500));
        if (m_messageFault == fault::MessageDuplicated)
            deliver(latency);
        if (m_messageFault != fault::MessageLost)
            deliver(drawMilliseconds(20, 500));
    }

    // Coordinators.

    void startCoordinator()
    {
        const daemon_id name("c" + std::to_string(m_coordinators.size()));
        m_coordinators.push_back(std::make_shared<coordinator_process>(name));
        onLeaseTimer(m_coordinators.back());
    }

    void onLeaseTimer(const std::shared_ptr<coordinator_process>& self)
    {
        if (self->fencing > fencing_number() && schedule.now() > self->confirmedAt + leaseDuration) {
            self->fencing = fencing_number();
            self->machine.onLeaseLost();
        }
        map_table_request read;
        read.from = mapLeaseKey(groupName());
        read.to = read.from + '\0';
        read.limit = 1;
        accessTable(self, read, {}, [=, this](const auto& rows) {
            if (rows.has_value())
                onLeaseRead(self, rows.value());
        });
        proposeNext(self);
        schedule.after(leaseRenewalInterval, [=, this] { runInProcess(self, [=, this] { onLeaseTimer(self); }); });
    }

    // The value of the lease row is the fencing number and the name of the holder.
    void onLeaseRead(const std::shared_ptr<coordinator_process>& self, const std::vector<table_row>& rows)
    {
        const table_row row = rows.empty() ? table_row { {}, "0 nobody", {} } : rows.front();
        const std::uint64_t fencing = std::stoull(row.value);
        const std::string holder = row.value.substr(row.value.find(' ') + 1);
        if (row.revision != self->seenRevision) {
            self->seenRevision = row.revision;
            self->seenSince = schedule.now();
        }
        const bool isOwn = holder == self->name.value() && self->fencing == fencing_number(fencing);
        if (isOwn)
            writeLease(self, fencing, row.revision);
        else if (rows.empty() || schedule.now() > self->seenSince + leaseDuration)
            writeLease(self, fencing + 1, row.revision);
    }

    void writeLease(const std::shared_ptr<coordinator_process>& self, std::uint64_t fencing, row_revision revision)
    {
        map_table_request write;
        write.access = map_table_request::kind::Transact;
        write.transaction.conditions.push_back({ mapLeaseKey(groupName()), revision });
        write.transaction.puts.emplace_back(
            mapLeaseKey(groupName()), std::to_string(fencing) + " " + self->name.value());
        const time_point sentAt = schedule.now();
        injectDueFaults(stage::Lease, m_lastVersion);
        accessTable(
            self, write,
            [=, this](const state_result<row_revision>& result) {
                if (!result.has_value())
                    return;
                self->fencing = fencing_number(fencing);
                self->confirmedAt = sentAt;
                self->machine.onLeaseHeld(self->fencing, result.value());
                executeActions(self);
            },
            {});
    }

    void proposeNext(const std::shared_ptr<coordinator_process>& self)
    {
        if (!self->machine.isIdle())
            return;
        std::vector<std::vector<expert_map::replica>> experts;
        for (std::uint32_t expert = 0; expert < expertCount; ++expert)
            experts.push_back({ { rank_id(draw(0, rankCount - 1)), 1 } });
        const bool hasAnyEntered = std::ranges::any_of(m_entered, [](const auto& entered) { return entered.has_value(); });
        self->machine.onStepEntered(hasAnyEntered ? m_step : step_number(m_step.value() - 1));
        const bool isFirst = !self->machine.committedMap();
        const step_number firstStep(isFirst ? 1 : m_step.value() + draw(2, 16));
        (void)self->machine.propose(experts, firstStep);
        executeActions(self);
    }

    void executeActions(const std::shared_ptr<coordinator_process>& self)
    {
        for (const map_coordinator_action& action : self->machine.takeActions())
            std::visit([&](const auto& typed) { executeAction(self, typed); }, action);
        scheduleWakeUp(self);
    }

    void executeAction(const std::shared_ptr<coordinator_process>& self, const map_table_request& request)
    {
        for (const auto& [key, value] : request.transaction.puts)
            if (isMapProposalKey(groupName(), key))
                injectDueFaults(stage::Proposal, parseMapProposal(key, value).value().map->version);
            else if (isMapDecisionKey(groupName(), key))
                injectDueFaults(stage::Decision, parseMapDecision(key, value).value().version);
        sendTableRequest(self, request);
    }

    void executeAction(const std::shared_ptr<coordinator_process>&, const map_prepare_message& message)
    {
        injectDueFaults(stage::Prepare, message.map->version);
        for (const auto& rank : receiversOf(message.rank))
            send(rank, [=, this] {
                rank->machine.onPrepare(message, schedule.now());
                executeActions(rank);
            });
    }

    void executeAction(const std::shared_ptr<coordinator_process>&, const map_decision_message& message)
    {
        injectDueFaults(stage::Broadcast, message.decision.version);
        for (const auto& rank : receiversOf(message.rank))
            send(rank, [=, this] {
                rank->machine.onDecision(message, schedule.now());
                executeActions(rank);
            });
    }

    // Processes that receive a message for the rank: the newest one, and at random also those that it replaced.
    std::vector<std::shared_ptr<rank_process>> receiversOf(rank_id rank)
    {
        std::vector<std::shared_ptr<rank_process>> processes;
        std::ranges::copy_if(
            m_ranks, std::back_inserter(processes), [&](const auto& candidate) { return candidate->rank == rank; });
        if (draw(0, 1))
            processes.erase(processes.begin(), processes.end() - 1);
        return processes;
    }

    // Ranks.

    std::shared_ptr<rank_process> startRank(rank_id rank)
    {
        m_ranks.push_back(std::make_shared<rank_process>(rank, incarnation(m_ranks.size() + 1)));
        const std::shared_ptr<rank_process> started = m_ranks.back();
        started->machine.poll(schedule.now());
        executeActions(started);
        return started;
    }

    void joinGroup(const std::shared_ptr<rank_process>& newcomer)
    {
        std::shared_ptr<rank_process>& member = m_members[newcomer->rank.value()];
        // Replacements of a rank may join out of order; the engine uses the one started last.
        const bool isOutdated = member && std::ranges::find(m_ranks, newcomer) < std::ranges::find(m_ranks, member);
        if (!newcomer->isAlive || isOutdated)
            return;
        member = newcomer;
        m_entered[newcomer->rank.value()].reset();
        requestStep(newcomer);
    }

    bool isMember(const std::shared_ptr<rank_process>& self) const
    {
        return m_members[self->rank.value()] == self;
    }

    // Asks the rank to enter the current step until it does. The answer counts only if the process is a group member.
    void requestStep(const std::shared_ptr<rank_process>& self)
    {
        const step_number step = m_step;
        const auto version = self->machine.tryEnterStep(step, schedule.now());
        executeActions(self);
        if (version && isMember(self) && step == m_step)
            enterStep(self, *version);
        else if (isMember(self) || draw(0, 20))
            schedule.after(stepRequestInterval, [=, this] { runInProcess(self, [=, this] { requestStep(self); }); });
    }

    void enterStep(const std::shared_ptr<rank_process>& self, map_version version)
    {
        check(self->loaded.contains(version), "step entered without the weights of map", version.value());
        m_entered[self->rank.value()] = version;
        if (version > m_lastVersion)
            injectDueFaults(stage::FirstStep, version, self.get());
        const bool haveAllEntered = std::ranges::all_of(m_entered, [](const auto& entered) { return entered.has_value(); });
        if (haveAllEntered)
            schedule.after(stepDuration, [this, step = m_step] { completeStep(step); });
    }

    void completeStep(step_number step)
    {
        const bool haveAllEntered = std::ranges::all_of(m_entered, [](const auto& entered) { return entered.has_value(); });
        if (step != m_step || !haveAllEntered)
            return;
        for (const auto& member : m_members) {
            if (!member->isAlive)
                return;
            if (schedule.now() < member->pausedUntil) {
                schedule.at(member->pausedUntil, [=, this] { completeStep(step); });
                return;
            }
        }
        const map_version version = *m_entered.front();
        for (const auto& entered : m_entered)
            check(entered == version, "different maps in step", step.value());
        check(version >= m_lastVersion, "version fell in step", step.value());
        m_lastVersion = version;
        completed[step] = version;
        m_step = step_number(step.value() + 1);
        m_entered.fill(std::nullopt);
        for (const auto& member : m_members)
            requestStep(member);
    }

    void executeActions(const std::shared_ptr<rank_process>& self)
    {
        for (const map_rank_action& action : self->machine.takeActions())
            std::visit([&](const auto& typed) { executeAction(self, typed); }, action);
        scheduleWakeUp(self);
    }

    void executeAction(const std::shared_ptr<rank_process>& self, const map_table_request& request)
    {
        sendTableRequest(self, request);
    }

    void executeAction(const std::shared_ptr<rank_process>& self, const map_prepared_message& message)
    {
        injectDueFaults(stage::Prepared, message.version, self.get());
        for (const auto& coordinator : m_coordinators)
            if (coordinator->name == message.coordinator)
                send(coordinator, [=, this] {
                    coordinator->machine.onPrepared(message);
                    executeActions(coordinator);
                });
    }

    void executeAction(const std::shared_ptr<rank_process>& self, const map_weights_order& order)
    {
        if (order.order == map_weights_order::kind::Release) {
            self->loading.erase(order.version);
            self->loaded.erase(order.version);
            return;
        }
        self->loading.insert(order.version);
        check(self->loading.size() <= 2, "more than two maps in memory of rank", self->rank.value());
        schedule.after(drawMilliseconds(2, 60), [=, this] {
            runInProcess(self, [=, this] {
                if (!self->loading.contains(order.version))
                    return;
                self->loaded.insert(order.version);
                self->machine.onWeightsLoaded(order.version, schedule.now());
                executeActions(self);
            });
        });
    }

    // Coordinators and ranks.

    template <typename Process>
    void sendTableRequest(const std::shared_ptr<Process>& self, const map_table_request& request)
    {
        accessTable(
            self, request,
            [=, this](const auto& result) {
                self->machine.onWriteResult(request.id, result, schedule.now());
                executeActions(self);
            },
            [=, this](const auto& result) {
                self->machine.onRowsRead(request.id, result, schedule.now());
                executeActions(self);
            });
    }

    // Schedules poll() for the next deadline.
    template <typename Process>
    void scheduleWakeUp(const std::shared_ptr<Process>& self)
    {
        const auto deadline = self->machine.nextDeadline();
        if (!deadline || m_wakeUps[self.get()] == *deadline)
            return;
        m_wakeUps[self.get()] = *deadline;
        schedule.at(*deadline, [=, this] {
            runInProcess(self, [=, this] {
                if (m_wakeUps[self.get()] != *deadline)
                    return;
                m_wakeUps.erase(self.get());
                self->machine.poll(schedule.now());
                executeActions(self);
            });
        });
    }

    map_version newestProposal() const
    {
        map_version newest;
        for (const table_row& row : table.log())
            if (isMapProposalKey(groupName(), row.key))
                newest = std::max(newest, parseMapProposal(row.key, row.value).value().map->version);
        return newest;
    }

    std::mt19937_64 m_random;
    std::vector<armed_fault> m_armed;
    time_point m_healedAt {};
    std::optional<map_version> m_settledVersion;
    fault m_messageFault = fault::MessageLost;
    std::uint64_t m_messageFaultsLeft = 0;
    fault m_writeFault = fault::WriteAnswerLost;
    std::uint64_t m_writeFaultsLeft = 0;
    time_point m_tableDownUntil {};
    std::vector<std::shared_ptr<coordinator_process>> m_coordinators;
    // All rank processes ever started, and the current group members by rank.
    std::vector<std::shared_ptr<rank_process>> m_ranks;
    std::array<std::shared_ptr<rank_process>, rankCount> m_members;
    std::array<std::optional<map_version>, rankCount> m_entered;
    step_number m_step { 1 };
    map_version m_lastVersion;
    std::map<const process*, time_point> m_wakeUps;
};

}
