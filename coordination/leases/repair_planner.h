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

// Restores the roles and loaded models of the pools' runners to what the configuration specifies. Pure state machine; not
// safe for use from several threads.
//
// Runners beyond the wanted number of a pool are spare. When a serving runner is lost, a live spare runner first loads the
// pool's models and then serves. When more runners serve than are wanted, some become spare. Roles and models are taken from
// the agents' reports, so a new lease holder needs only the reports to continue. A runner that has gone silent still counts
// as serving for a time that depends on its member state. A step is taken only when its cause has persisted; the number of
// steps per period and the share of a pool that changes at the same time are limited.
class repair_planner {
public:
    explicit repair_planner(repair_settings);

    // Returns the steps to take now. Each returned command counts as taken. Call about once per second.
    std::vector<order_command> plan(const configuration&, const std::vector<runner_observation>&, time_point now);

private:
    // A difference between the actual and the wanted state of a runner, and the steps taken to remove it.
    struct difference {
        // Nothing while the difference is absent. If a step was taken, the entry is kept even then, so that the delay between
        // two equal steps is observed.
        std::optional<time_point> presentSince;
        time_point lastSeen;
        std::optional<time_point> lastTakenAt;
        int timesTaken = 0;
    };

    // What the planner knows about a runner.
    struct tracked_runner {
        // Role and models of the last report.
        std::optional<runner_state> state;
        // Since when the runner has been unreachable; nothing while it is reachable.
        std::optional<time_point> unreachableSince;
        // Role in the last order that changed it.
        std::string orderedRole;
        std::optional<time_point> roleOrderedAt;
        std::optional<time_point> lastStepAt;
        // Differences by the step that removes them.
        std::map<std::string, difference> differences;
    };

    // A runner of a pool, as seen by one call of plan().
    struct candidate {
        const runner* configured = nullptr;
        tracked_runner* tracked = nullptr;
        bool isBusy = false;
        bool isUnreachable = false;
        // Unreachable for so long that it is to be replaced.
        bool isLost = false;
        // Reachable and with a recent report, so that it can carry out orders.
        bool isReady = false;
        bool isServing = false;
    };

    // A step that would remove a difference.
    struct proposal {
        candidate* target = nullptr;
        order_kind kind = order_kind::LoadModel;
        std::string subject;
        std::string reason;
        // How long the difference must have persisted before the step is taken.
        duration minAge {};
    };

    candidate observe(const runner&, const runner_observation*, time_point now);
    void updateReachability(candidate&, const std::optional<member_state>&, time_point now) const;
    bool isServing(const tracked_runner&, time_point now) const;
    void planPool(const pool&, const std::set<std::string>& models, std::vector<candidate>&, time_point now);
    std::vector<proposal> propose(const pool&, const std::set<std::string>& models, std::vector<candidate>&) const;
    void proposeModels(candidate&, const std::set<std::string>& models, std::vector<proposal>&) const;
    static bool hasFailed(const tracked_runner&);
    void proposeReplacements(const pool&, int missing, const std::set<std::string>& models, std::vector<candidate>&,
        std::vector<proposal>&) const;
    void proposeSpares(const pool&, int surplus, std::vector<candidate>&, std::vector<proposal>&) const;
    void updateDifferences(const std::vector<proposal>&, const std::vector<candidate>&, time_point now) const;
    bool isChanging(const candidate&, time_point now) const;
    bool canChangeRunner(const std::vector<candidate>&, time_point now) const;
    bool canTakeStep(time_point now);
    bool isDue(const proposal&, time_point now) const;
    void takeStep(const proposal&, time_point now);

    repair_settings m_settings;
    std::map<runner_id, tracked_runner> m_runners;
    // Times of the steps in the last period.
    std::deque<time_point> m_recentStepTimes;
    std::vector<order_command> m_commands;
};

}
