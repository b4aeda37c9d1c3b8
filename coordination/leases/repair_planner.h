#pragma once

#include "coordination/leases/order_command.h"
#include "coordination/leases/repair_settings.h"
#include "coordination/routing/runner_observation.h"
#include "state/configuration.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sardinelb {

// Brings roles and loaded models of the pools' runners back to what the configuration wants. Pure state machine; not
// safe for use from several threads.
//
// A runner beyond the wanted number of its pool is spare. When a serving runner is lost, a live spare one first loads
// the pool's models and then serves. When more runners serve than are wanted, some become spare. The runner's role and
// models are taken from the agents' reports, so a new holder needs nothing but the reports to continue. A runner that
// has gone silent still counts as serving for a time that depends on what is known about it. A step is proposed only
// when its cause has lasted; steps are limited per period and per share of a pool.
class repair_planner {
public:
    explicit repair_planner(repair_settings);

    // The steps to take now. Each returned command counts as taken. Call about once a second.
    std::vector<order_command> plan(const configuration&, const std::vector<runner_observation>&, time_point now);

private:
    // How long a difference has been seen, and what was done about it.
    struct difference {
        // Nothing while it is not there. It is remembered beyond that if a step was taken, so that the pause between
        // two equal steps holds.
        std::optional<time_point> since;
        time_point lastSeen;
        std::optional<time_point> takenAt;
        int timesTaken = 0;
    };

    // What the planner remembers of a runner.
    struct runner_memory {
        // Role and models of the last report.
        std::optional<runner_state> state;
        // Since when it has been out of reach; nothing while it is in reach.
        std::optional<time_point> awaySince;
        // Role that was ordered last.
        std::string givenRole;
        std::optional<time_point> roleGivenAt;
        std::optional<time_point> lastStepAt;
        // By the step that removes the difference.
        std::map<std::string, difference> differences;
    };

    // One runner of a pool in one round.
    struct candidate {
        const runner* configured = nullptr;
        runner_memory* memory = nullptr;
        bool isBusy = false;
        bool isAway = false;
        // Away for so long that it is replaced.
        bool isLost = false;
        // In reach and reported: orders make sense.
        bool isReady = false;
        bool isServing = false;
    };

    // A step that the present differences ask for.
    struct proposal {
        candidate* target = nullptr;
        order_kind kind = order_kind::LoadModel;
        std::string subject;
        std::string reason;
        // How long the difference must have lasted.
        duration wait {};
    };

    candidate observe(const runner&, const runner_observation*, time_point now);
    void noteReach(candidate&, const std::optional<member_state>&, time_point now) const;
    bool isServing(const runner_memory&, time_point now) const;
    void planPool(const pool&, const std::set<std::string>& models, std::vector<candidate>&, time_point now);
    std::vector<proposal> propose(const pool&, const std::set<std::string>& models, std::vector<candidate>&) const;
    void proposeModels(candidate&, const std::set<std::string>& models, std::vector<proposal>&) const;
    static bool hasFailed(const runner_memory&);
    void proposeReplacements(const pool&, int missing, const std::set<std::string>& models, std::vector<candidate>&,
        std::vector<proposal>&) const;
    void proposeSpares(const pool&, int surplus, std::vector<candidate>&, std::vector<proposal>&) const;
    void noteDifferences(const std::vector<proposal>&, const std::vector<candidate>&, time_point now) const;
    bool isUnderChange(const candidate&, time_point now) const;
    bool mayChangeRunner(const std::vector<candidate>&, time_point now) const;
    bool mayTakeStep(time_point now);
    bool isDue(const proposal&, time_point now) const;
    void take(const proposal&, time_point now);

    repair_settings m_settings;
    std::map<runner_id, runner_memory> m_runners;
    // Times of the steps in the last period.
    std::deque<time_point> m_steps;
    std::vector<order_command> m_commands;
};

}
