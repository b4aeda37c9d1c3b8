#pragma once

#include "coordination/maps/map_balance.h"
#include "coordination/maps/map_planner.h"
#include "coordination/maps/map_rows.h"
#include "coordination/maps/map_switch_coordinator.h"
#include "coordination/maps/map_switch_rank.h"
#include "coordination/maps/popularity_tracker.h"
#include "coordination/maps/rank_speed_tracker.h"
#include "tests/stand_ins/memory_table.h"
#include "tests/stand_ins/virtual_schedule.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <variant>
#include <vector>

namespace sardinelb {

// A rank group in lock-step that runs the decision modules of the expert map in virtual time: trackers, planner,
// coordinator and ranks, with a table, a network without faults and a rate-limited weight store.
class group_simulation {
public:
    struct settings {
        std::uint32_t ranks = 0;
        map_planner_settings planner;
        // Part of the traffic by expert.
        std::vector<double> popularity;
        // Part of a step's work that does not depend on the map.
        double fixedPart = 0;
        std::uint64_t seed = 0;
        // Chooses the next map, or nothing to keep the current one.
        std::function<std::optional<map_plan>(const map_planner&, const map_plan_request&)> plan;
    };

    explicit group_simulation(settings chosen)
        : m_settings(std::move(chosen))
        , m_random(m_settings.seed)
        , m_speeds(m_settings.ranks, 1)
        , m_planner(m_settings.planner)
        , m_popularity(static_cast<std::uint32_t>(m_settings.popularity.size()), std::chrono::minutes(1))
        , m_measuredSpeeds(m_settings.ranks)
        , m_coordinator(switchSettings(), daemon_id("coordinator"))
        , m_report { rank_id(0), incarnation(1), std::vector<std::uint64_t>(m_settings.popularity.size()) }
    {
        table_transaction lease;
        lease.puts.emplace_back(mapLeaseKey(switchSettings().group), "coordinator");
        m_coordinator.onLeaseHeld(fencing_number(1), m_table.transact(lease).value());
        carryOut();
        for (std::uint32_t rank = 0; rank < m_settings.ranks; ++rank) {
            m_ranks.push_back(std::make_unique<rank_process>(rank_id(rank), switchSettings()));
            m_ranks.back()->machine.poll(m_schedule.now());
            carryOut(*m_ranks.back());
        }
        askAll();
        m_schedule.after(planInterval, [this] { planNext(); });
    }

    // Changes the true speed of a rank.
    void setSpeed(std::size_t rank, double speed) { m_speeds[rank] = speed; }

    void runUntil(time_point end)
    {
        while (m_schedule.now() < end && m_schedule.runNext()) { }
    }

    time_point now() const { return m_schedule.now(); }

    // Whether a step has been completed.
    bool hasStarted() const { return m_inForce != nullptr; }

    // Expected time of the busiest rank over the mean in the present step, without noise.
    double skew() const
    {
        const std::vector<double> times = expectedTimes(*m_inForce);
        double sum = 0;
        for (const double time : times)
            sum += time;
        return std::ranges::max(times) * static_cast<double>(times.size()) / sum;
    }

private:
    struct rank_process {
        rank_process(rank_id rank, const map_switch_settings& settings)
            : machine(settings, rank, incarnation(1))
            , number(rank)
        {
        }

        map_switch_rank machine;
        rank_id number;
        std::set<map_version> kept;
        // Experts in memory.
        std::set<std::size_t> experts;
        std::optional<time_point> wakeUp;
    };

    // Work of a rank with the mean load in one step, and the exchange between ranks.
    static constexpr double workMicroseconds = 50000;
    static constexpr duration exchangeTime = std::chrono::milliseconds(9);
    // Time of a rank in one step differs by this (one sigma), and one step in 100 takes twice as long.
    static constexpr double stepNoise = 0.05;
    static constexpr int stepsPerOutlier = 100;
    static constexpr double outlierFactor = 2;
    static constexpr double tokensPerSecond = 600000;
    // An expert's part of the tokens of one plan interval differs by this (one sigma).
    static constexpr double popularityNoise = 0.02;
    static constexpr duration planInterval = std::chrono::seconds(2);
    static constexpr duration messageTime = std::chrono::milliseconds(1);
    static constexpr duration tableTime = std::chrono::milliseconds(5);
    static constexpr duration askInterval = std::chrono::milliseconds(2);
    // Until the first map is loaded, which takes about a minute.
    static constexpr duration firstAskInterval = std::chrono::milliseconds(500);
    // One expert in all layers is 2.5 GB; the weight store gives 20 GB/s to all ranks together.
    static constexpr duration loadTime = std::chrono::milliseconds(125);
    static constexpr std::uint32_t moveBudget = 16;

    map_switch_settings switchSettings() const
    {
        map_switch_settings chosen;
        chosen.group = group_id("g");
        chosen.rankCount = m_settings.ranks;
        // The first map loads every slot.
        chosen.prepareTimeout = std::chrono::minutes(10);
        return chosen;
    }

    std::vector<double> expectedTimes(const expert_map& map) const
    {
        std::vector<double> times = rankTimes(map, m_settings.popularity, std::vector<double>(m_settings.ranks, 1));
        for (std::size_t rank = 0; rank < times.size(); ++rank)
            times[rank] = (m_settings.fixedPart + (1 - m_settings.fixedPart) * times[rank]) / m_speeds[rank];
        return times;
    }

    // Steps.

    void askAll()
    {
        m_entered = 0;
        for (const auto& rank : m_ranks)
            ask(*rank);
    }

    void ask(rank_process& rank)
    {
        const auto version = rank.machine.tryEnterStep(m_step, m_schedule.now());
        carryOut(rank);
        if (!version)
            m_schedule.after(hasStarted() ? askInterval : firstAskInterval, [this, &rank] { ask(rank); });
        else if (++m_entered == m_ranks.size())
            runStep(*version);
    }

    void runStep(map_version version)
    {
        const auto& map = m_coordinator.committedMap();
        if (map && map->version == version)
            m_inForce = map;
        m_coordinator.onStepEntered(m_step);
        const std::vector<double> loads
            = rankTimes(*m_inForce, m_settings.popularity, std::vector<double>(m_settings.ranks, 1));
        const std::vector<double> times = expectedTimes(*m_inForce);
        std::normal_distribution<double> noise(1, stepNoise);
        double longest = 0;
        for (std::uint32_t rank = 0; rank < m_settings.ranks; ++rank) {
            const double outlier = m_random() % stepsPerOutlier == 0 ? outlierFactor : 1;
            const double busy = workMicroseconds * times[rank] * noise(m_random) * outlier;
            longest = std::max(longest, busy);
            m_measuredSpeeds.record(rank_id(rank), duration(static_cast<duration::rep>(busy)), loads[rank]);
        }
        m_stepTime = duration(static_cast<duration::rep>(longest)) + exchangeTime;
        m_step = step_number(m_step.value() + 1);
        m_schedule.after(m_stepTime, [this] { askAll(); });
    }

    // Planning.

    void planNext()
    {
        m_schedule.after(planInterval, [this] { planNext(); });
        countTokens();
        if (!m_coordinator.isIdle())
            return;
        map_plan_request request;
        request.speeds = m_measuredSpeeds.speeds();
        request.current = m_coordinator.committedMap();
        request.popularity = request.current ? m_popularity.popularity() : m_settings.popularity;
        request.popularityNoise = m_popularity.noise();
        request.longTermPopularity = m_popularity.longTermPopularity();
        request.moveBudget = moveBudget;
        const auto plan = request.current ? m_settings.plan(m_planner, request) : m_planner.plan(request).value();
        if (!plan)
            return;
        // The margin lets ranks prepare before the group gets to the first step: the loads, and a second for messages.
        const duration needed = plan->moves * loadTime + std::chrono::seconds(1);
        const auto margin = request.current ? needed / m_stepTime + 2 : 0;
        (void)m_coordinator.propose(
            plan->map.experts, step_number(m_step.value() + static_cast<std::uint64_t>(margin)));
        carryOut();
    }

    void countTokens()
    {
        if (!m_inForce)
            return;
        std::normal_distribution<double> noise(1, popularityNoise);
        const double tokens = tokensPerSecond * std::chrono::duration<double>(planInterval).count();
        for (std::size_t expert = 0; expert < m_report.tokens.size(); ++expert)
            m_report.tokens[expert]
                += static_cast<std::uint64_t>(tokens * m_settings.popularity[expert] * noise(m_random));
        (void)m_popularity.report(m_report, m_schedule.now());
    }

    // Actions of the state machines.

    void carryOut()
    {
        for (const map_coordinator_action& action : m_coordinator.takeActions())
            std::visit([this](const auto& typed) { carryOutOne(typed); }, action);
        const auto deadline = m_coordinator.nextDeadline();
        if (!deadline || m_coordinatorWakeUp == deadline)
            return;
        m_coordinatorWakeUp = deadline;
        m_schedule.at(*deadline, [this] {
            m_coordinatorWakeUp.reset();
            m_coordinator.poll(m_schedule.now());
            carryOut();
        });
    }

    void carryOutOne(const map_table_request& request)
    {
        access(m_coordinator, request, [this] { carryOut(); });
    }

    void carryOutOne(const map_prepare_message& message)
    {
        rank_process& rank = *m_ranks[message.rank.value()];
        m_schedule.after(messageTime, [this, &rank, message] {
            rank.machine.onPrepare(message, m_schedule.now());
            carryOut(rank);
        });
    }

    void carryOutOne(const map_decision_message& message)
    {
        rank_process& rank = *m_ranks[message.rank.value()];
        m_schedule.after(messageTime, [this, &rank, message] {
            rank.machine.onDecision(message, m_schedule.now());
            carryOut(rank);
        });
    }

    void carryOut(rank_process& rank)
    {
        for (const map_rank_action& action : rank.machine.takeActions())
            std::visit([&](const auto& typed) { carryOutOne(rank, typed); }, action);
        const auto deadline = rank.machine.nextDeadline();
        if (!deadline || rank.wakeUp == deadline)
            return;
        rank.wakeUp = deadline;
        m_schedule.at(*deadline, [this, &rank] {
            rank.wakeUp.reset();
            rank.machine.poll(m_schedule.now());
            carryOut(rank);
        });
    }

    void carryOutOne(rank_process& rank, const map_table_request& request)
    {
        access(rank.machine, request, [this, &rank] { carryOut(rank); });
    }

    void carryOutOne(rank_process&, const map_prepared_message& message)
    {
        m_schedule.after(messageTime, [this, message] {
            m_coordinator.onPrepared(message);
            carryOut();
        });
    }

    // Loads go through the weight store one after the other.
    void carryOutOne(rank_process& rank, const map_weights_order& order)
    {
        if (order.order == map_weights_order::kind::Release) {
            rank.kept.erase(order.version);
            return;
        }
        rank.kept.insert(order.version);
        std::set<std::size_t> needed;
        for (std::size_t expert = 0; expert < order.map->experts.size(); ++expert)
            for (const auto& replica : order.map->experts[expert])
                if (replica.rank == rank.number)
                    needed.insert(expert);
        time_point done = m_schedule.now();
        for (const std::size_t expert : needed)
            if (!rank.experts.contains(expert)) {
                m_storeFreeAt = std::max(m_storeFreeAt, m_schedule.now()) + loadTime;
                done = m_storeFreeAt;
            }
        rank.experts = std::move(needed);
        m_schedule.at(done, [this, &rank, version = order.version] {
            if (rank.kept.contains(version))
                rank.machine.onWeightsLoaded(version, m_schedule.now());
            carryOut(rank);
        });
    }

    template <typename Machine>
    void access(Machine& machine, const map_table_request& request, const std::function<void()>& followUp)
    {
        m_schedule.after(tableTime, [this, &machine, request, followUp] {
            if (request.access == map_table_request::kind::ReadRange)
                machine.onRowsRead(
                    request.id, m_table.readRange(request.from, request.to, request.limit), m_schedule.now());
            else
                machine.onWriteResult(request.id, m_table.transact(request.transaction), m_schedule.now());
            followUp();
        });
    }

    settings m_settings;
    std::mt19937_64 m_random;
    // True speeds.
    std::vector<double> m_speeds;
    virtual_schedule m_schedule;
    memory_table m_table;
    map_planner m_planner;
    popularity_tracker m_popularity;
    rank_speed_tracker m_measuredSpeeds;
    map_switch_coordinator m_coordinator;
    std::optional<time_point> m_coordinatorWakeUp;
    std::vector<std::unique_ptr<rank_process>> m_ranks;
    popularity_report m_report;
    step_number m_step { 1 };
    std::size_t m_entered = 0;
    duration m_stepTime = std::chrono::milliseconds(60);
    std::shared_ptr<const expert_map> m_inForce;
    time_point m_storeFreeAt {};
};

}
