#pragma once

#include "serving/attempt_failure.h"
#include "serving/cold_runner.h"
#include "serving/engine_profile.h"
#include "serving/exclusion_reason.h"
#include "serving/group_limit.h"
#include "serving/group_shift.h"
#include "serving/listed_runner.h"
#include "serving/rank_load.h"
#include "serving/runner_record.h"
#include "serving/warm_up_limit.h"
#include "state/ids.h"
#include "state/time.h"

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace sardinelb {

// One entry's view of all runners, and its selection among them. Pure state machine; time is passed in.
class runner_directory {
public:
    // Returns a number in [0, 1).
    using random_source = std::function<double()>;

    explicit runner_directory(random_source);

    // Replaces the list of runners. Statistics of a runner are kept if it is still the same process at the same address.
    void setRunners(const std::vector<listed_runner>&, time_point now);

    // Sets the engine profile of a pool. Runners of a pool without one accept any number of requests.
    void setEngine(const pool_id&, const std::optional<engine_profile>&);

    // Sets what cold runners of the pool take. Nothing if they take as much as others.
    void setWarmUp(const pool_id&, const std::optional<warm_up_limit>&, time_point now);

    // Sets when this entry's process started. The one before may have sent requests until then.
    void setProcessStart(time_point);

    // Sets the addresses of all entries that may send to the same cold runners. Unless `isComplete`, there may be many more.
    void setWarmUpEntries(std::vector<std::string> addresses, bool isComplete);

    // Records that a runner's process says to this entry that it is cold. Returns whether that is news. Ignored for a process that is
    // not listed.
    bool onCold(const cold_runner&, time_point now);

    // The same as said to another entry.
    bool onColdUpdate(const cold_runner&, time_point now);

    // The processes that say in the list or to this entry that they are cold, for the other entries.
    std::vector<cold_runner> coldRunners(time_point now) const;

    // Whether the process has started lately or says that it is cold, in a pool whose cold runners crash if they get too much.
    bool isCold(const runner_record&, time_point now) const;

    // Whether a model runner has more requests than it can run and queue without harm.
    bool isOverrun(const runner_record&, time_point now) const;

    // Number of runners that are cold, or that may be.
    std::size_t warmingUpCount(time_point now) const;

    // Records a report of a runner's load. It includes the requests of all entries.
    void onLoadReport(const rank_load&, time_point now);

    // Sets the number of entries that select among the same runners from the same reports.
    void setEntryCount(std::size_t count) { m_entryCount = count; }

    // Sets this entry's share of the demand of all entries, from 0 to 1. While a group is busy, the entry uses no more than
    // this share of it: from the same reports, all entries see the same free slots.
    void setDemandShare(double share) { m_demandShare = share; }

    // Sets the shares of all entries in the demand, by address. From them the entry assumes how many requests the others send to
    // a runner between two reports.
    void setDemandShares(std::unordered_map<std::string, double> byEntry);

    // Sets the addresses of the model runners whose load this entry follows. Others are used only while none of these is
    // usable.
    void setFollowed(const std::unordered_set<std::string>& addresses);

    // Sets the availability zones whose runners get no new requests. Requests that run there go on.
    void setEvacuatedZones(std::unordered_set<availability_zone_id>, time_point now);

    // Whether the pool has runners in evacuated zones and no other one that stays, so that waiting is in vain.
    bool isPoolEvacuated(const pool_id&) const;

    // Addresses of all runners in pools with an engine profile.
    std::vector<std::string> modelRunnerAddresses() const;

    // Chooses a runner with a free slot, or nothing. Runners in `excluded` are chosen only if there is no other.
    std::optional<runner_id> choose(const pool_id&, const std::vector<runner_id>& excluded, time_point now);

    // When the first runner of the pool that goes on taking requests may be sent one, as far as pauses that runners have asked for tell.
    time_point pausedUntil(const pool_id&, time_point now) const;

    // Number of further requests for which choose() would find a runner.
    std::uint32_t freeSlots(const pool_id&, time_point now) const;

    // Rate at which slots become free when all listed runners are at their limits. Includes runners in backoff, since they
    // may become available again within a moment.
    double freedSlotsPerSecond(const pool_id&) const;

    // The same with all slots of the runners in use, which makes their passes longer.
    double maxFreedSlotsPerSecond(const pool_id&) const;

    // While set, the runners of the pool run requests in all their slots, whatever that does to the gaps of their streams.
    void setClearingBacklog(const pool_id&, bool isClearing);

    void onAttemptStarted(const runner_id&, time_point now);

    // End an attempt counted by onAttemptStarted(). `responseTime` is the time from sending the request to the end of the
    // response.
    void onAttemptSucceeded(const runner_id&, duration responseTime);
    void onAttemptFailed(const runner_id&, attempt_failure, time_point now);
    // Records that a stream has been silent for a while. Its attempt goes on.
    void onSilence(const runner_id&, time_point now);
    // Ends an attempt that says nothing about the runner's health, such as when the caller left.
    void onAttemptAbandoned(const runner_id&);

    // Sets the addresses of all live entries, which share the limits that runners name.
    void setEntries(const std::string& self, std::vector<std::string> entries);

    // Records the limit that a runner names in an answer to this entry, in requests a second from all entries together, or that it names
    // none. Returns whether the limit has changed.
    bool onNamedLimit(const runner_id&, std::optional<double> requestsPerSecond, time_point now);

    // The same for an answer to another entry. Ignored for a process that is not listed.
    bool onLimitUpdate(const runner_limit_update&, time_point now);

    // The limits that runners have named in answers to this entry, for the other entries.
    std::vector<runner_limit_update> limitUpdates(time_point now) const;

    // Records that a runner's process has said, to this entry or another one, that it leaves. Returns whether that is news. Ignored for
    // a process that is not listed.
    bool onLeaving(runner_process_id);

    // The listed processes that have said that they leave, for the other entries.
    std::vector<runner_process_id> leavingRunners() const;

    // Records that a runner's process wants nothing from this entry for a while.
    void onPauseRequested(runner_process_id, duration, time_point now);

    // Records the time from sending a request to the first event of its stream.
    void onFirstEvent(const runner_id&, duration sinceSent);

    // Moving average of the time from sending a request to the first byte of its response, over the runners of the pool.
    duration expectedTimeToFirstByte(const pool_id&) const;

    // Records the time between two events of a stream from the runner.
    void onEventGap(const runner_id&, duration gap, duration objective, time_point now);

    // Why the runner gets no request now, apart from its load.
    exclusion_reason exclusionOf(const runner_record&, time_point now) const;

    const runner_record* find(const runner_id&) const;
    const std::unordered_map<runner_id, runner_record>& runners() const { return m_runners; }

    // Standard deviation of running requests over the ranks of each group with recent load reports.
    std::unordered_map<group_id, double> loadSpreads(time_point now) const;

    // Measured state of a group, for logs and tests.
    struct group_view {
        group_id group;
        double limitPerRank = 0;
        double passMs = 0;
        double slowdown = 0;
    };
    std::vector<group_view> groups() const;

private:
    // State of a group as it follows from the reports of the ranks that this entry follows.
    struct group_use {
        double followedRanks = 0;
        // Sum over the ranks with a recent report.
        double estimatedLoad = 0;
        double reportingRanks = 0;
        double ownInFlight = 0;
        // Requests that this entry may still send to the group.
        double remainingShare = 0;
        double limitPerRank = 0;
    };

    std::uint32_t requestLimit(const runner_record&) const;
    // The limit that follows from the passes of the group, and the one in use.
    double objectiveLimit(const group_id&, const engine_profile&) const;
    double limitPerRank(const runner_record&, const engine_profile&) const;
    std::unordered_map<group_id, group_use> groupUse(const pool_id&, const engine_profile&, time_point now) const;
    // Moving average of the time that a request of the pool takes.
    double serviceSeconds(const pool_id&) const;
    // Average number of runners without load reports that a choice compares.
    std::size_t sampleSize(const pool_id&) const;
    // Whether any followed runner of the pool is usable.
    bool isAnyFollowedUsable(const std::vector<runner_id>& members, time_point now) const;
    // Runners of the pool that requests may be sent to now, without those of groups of which this entry uses its share.
    std::vector<const runner_record*> candidates(const pool_id&, time_point now) const;
    std::vector<const runner_record*> usableRunners(const pool_id&, time_point now) const;
    bool isZoneEvacuated(const runner_record&) const;
    // Whether the runner is one that goes on taking requests, though perhaps not at this moment.
    bool isStaying(const runner_record&) const;
    // Whether the runner's group cannot run a request, by the last report of the runner or, without one, of all others of its pool.
    bool isGroupClosed(const runner_record&, time_point now) const;
    bool isAwaitingFirstReport(const runner_record&, time_point now) const;
    bool isUsable(const runner_record&, time_point now) const;
    double smoothedPassMs(const group_id&) const;
    // Mean number of requests on the ranks of a group with a recent load report. Nothing if there is no such rank.
    std::optional<double> meanRunning(const group_id&, time_point now) const;
    const engine_profile* engineOf(const pool_id&) const;
    double load(const runner_record&, time_point now) const;
    void updateFollowerShares();
    runner_record* findRecord(const runner_id&);
    runner_record* findRecord(runner_process_id);
    void recordFailure(const runner_id&, attempt_failure, time_point now);
    void updateLimitPosition(runner_record&) const;
    // What cold runners of the pool take. Null if nothing is configured.
    const warm_up_limit* warmUpOf(const pool_id&) const;
    // The runner may have started at this moment, or turned cold unnoticed.
    void beginWarmUp(runner_record&, time_point now) const;
    void updateWarmUpShare(runner_record&) const;
    // Until when a runner is cold that says that it is for this time.
    static time_point coldUntil(const cold_runner&, const warm_up_limit&, time_point now);
    // Remembers when requests were last sent to the runners that `known` no longer contains.
    void rememberRemoved(const std::unordered_map<runner_id, runner_record>& known, time_point now);
    // Number of requests that the limits of the runner let this entry send now. Nothing if there is no limit.
    std::optional<std::uint32_t> sendable(const runner_record&, time_point now) const;
    // Rate at which a runner takes requests that would take `requestsPerSecond` without a limit.
    static double limitedRate(const runner_record&, double requestsPerSecond);

    random_source m_random;
    std::size_t m_entryCount = 1;
    double m_demandShare = 1;
    std::unordered_map<std::string, double> m_demandShares;
    // Nothing until set; then all model runners are followed.
    std::optional<std::unordered_set<std::string>> m_followed;
    std::unordered_map<runner_id, runner_record> m_runners;
    std::unordered_map<pool_id, std::vector<runner_id>> m_byPool;
    std::unordered_map<runner_process_id, runner_id> m_byProcess;
    std::unordered_set<availability_zone_id> m_evacuatedZones;
    // Addresses of this entry and of all live entries. Without them this entry is taken for the only one.
    std::string m_self;
    std::vector<std::string> m_entries;
    // Last reports from open groups and from others.
    struct pool_reports {
        time_point openAt;
        time_point closedAt;
    };
    std::unordered_map<pool_id, pool_reports> m_reports;
    std::unordered_map<pool_id, warm_up_limit> m_warmUps;
    std::vector<std::string> m_warmUpEntries;
    time_point m_warmUpStart;
    // When this entry last sent a request to runners that have just left the list.
    std::unordered_map<runner_id, time_point> m_lastSentToRemoved;
    bool m_areWarmUpEntriesComplete = false;
    // Also contains the pools without an engine.
    std::unordered_map<pool_id, std::optional<engine_profile>> m_engines;
    std::unordered_map<group_id, group_limit> m_groups;
    group_shift m_groupShift;
    std::unordered_set<pool_id> m_clearingBacklog;
    // Moving averages by pool.
    std::unordered_map<pool_id, double> m_timeToFirstByteMs;
    std::unordered_map<pool_id, double> m_serviceMs;
};

}
