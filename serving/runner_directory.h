#pragma once

#include "serving/attempt_failure.h"
#include "serving/engine_profile.h"
#include "serving/group_limit.h"
#include "serving/listed_runner.h"
#include "serving/rank_load.h"
#include "serving/runner_record.h"
#include "state/ids.h"
#include "state/time.h"

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace sardinelb {

// What one entry knows of all runners, and its choice among them. Pure state machine; time enters as an argument.
class runner_directory {
public:
    // Returns a number in [0, 1).
    using random_source = std::function<double()>;

    explicit runner_directory(random_source);

    // Replaces the list. What was learned of a runner stays while its listing names the same process at the same address.
    void setRunners(const std::vector<listed_runner>&, time_point now);

    // Sets the engine of the pool's model runners. Runners of a pool without one take any number of requests.
    void setEngine(const pool_id&, const std::optional<engine_profile>&);

    // Takes a report of a runner's load. It counts the work of all entries.
    void onLoadReport(const rank_load&, time_point now);

    // Sets the number of entries that choose among the same runners by the same reports.
    void setEntryCount(std::size_t count) { m_entryCount = count; }

    // Chooses a runner with room for one more request, or nothing. Runners in `excluded` are used only if there is no other.
    std::optional<runner_id> choose(const pool_id&, const std::vector<runner_id>& excluded, time_point now);

    // Number of further requests for which choose() would find room.
    std::uint32_t freeSlots(const pool_id&, time_point now) const;

    // Rate at which places become free when all runners that are listed work at their limits. Counts runners that are
    // avoided just now, since they may return within a moment.
    double freedSlotsPerSecond(const pool_id&) const;

    void onAttemptStarted(const runner_id&);

    // Ends an attempt that onAttemptStarted() announced. `timeToAnswer` is from sending to the end of the answer.
    void onAttemptSucceeded(const runner_id&, duration timeToAnswer);
    void onAttemptFailed(const runner_id&, attempt_failure, time_point now);
    // Ends an attempt that says nothing about the runner, as when the caller left.
    void onAttemptAbandoned(const runner_id&);

    // Notes the time from sending a request to the first event of its stream.
    void onFirstEvent(const runner_id&, duration sinceSent);

    // Usual time from sending a request to the first part of its answer, over the runners of the pool.
    duration expectedTimeToFirstByte(const pool_id&) const;

    // Notes the time between two events of a stream from the runner.
    void onEventGap(const runner_id&, duration gap, duration objective, time_point now);

    const runner_record* find(const runner_id&) const;
    const std::unordered_map<runner_id, runner_record>& runners() const { return m_runners; }

    // What was learned of the groups, for logs and tests.
    struct group_view {
        group_id group;
        std::uint32_t limitPerRank = 0;
        double passMs = 0;
    };
    std::vector<group_view> groups() const;

private:
    std::uint32_t limitOf(const runner_record&) const;
    bool isCompared(std::size_t poolSize);
    bool awaitsFirstReport(const runner_record&, time_point now) const;
    bool isUsable(const runner_record&, time_point now) const;
    double usualPassMs(const group_id&) const;
    // Mean number of requests that the ranks of a group run, by their reports. Nothing if there is no present one.
    std::optional<double> meanRunning(const group_id&, time_point now) const;
    const engine_profile* engineOf(const pool_id&) const;
    double score(const runner_record&, time_point now) const;
    runner_record* findRecord(const runner_id&);

    random_source m_random;
    std::size_t m_entryCount = 1;
    std::unordered_map<runner_id, runner_record> m_runners;
    std::unordered_map<pool_id, std::vector<runner_id>> m_byPool;
    // Also has the pools without an engine.
    std::unordered_map<pool_id, std::optional<engine_profile>> m_engines;
    std::unordered_map<group_id, group_limit> m_groups;
    // By pool, smoothed, in ms.
    std::unordered_map<pool_id, double> m_firstAnswerMs;
    std::unordered_map<pool_id, double> m_serviceMs;
};

}
