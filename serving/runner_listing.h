#pragma once

#include "serving/listed_runner.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace sardinelb {

// The registered runners, assembled from changes of the store's table. A runner whose entry expired while the store was
// unreachable is kept until it has had time to register again; so is one that is missing after a restore of the store. What a runner
// has reported last, also that it drains or is gone, is not undone by the older entries of a restored store. Pure state machine.
class runner_listing {
public:
    // A changed entry; `runner` is empty if the entry no longer exists or describes no usable runner.
    struct change {
        runner_id id;
        std::optional<listed_runner> runner;
    };

    // Applies changes, read from the store after `epoch` restores. With `isFullSnapshot`, entries that are not among them no longer
    // exist. Returns the entries that were ignored because a restore has brought them back.
    std::vector<runner_id> apply(const std::vector<change>&, bool isFullSnapshot, time_point now, store_epoch epoch = {});

    // Records that the store became reachable or unreachable.
    void onStoreReachabilityChanged(bool isReachable, time_point now);

    // Returns the runners that may be used now. The result changes at nextExpiry().
    std::vector<listed_runner> runners(time_point now);

    // Digest of the last result of runners(); equal lists have equal digests.
    std::uint64_t digest() const { return m_digest; }

    // When the next entry that is kept without registration expires, if there is one.
    std::optional<time_point> nextExpiry() const;

private:
    // The newest report of a runner that is known.
    struct last_report {
        std::uint64_t startedAtMs = 0;
        std::uint64_t number = 0;
        store_epoch epoch;
        // Set once the runner's entry has been removed.
        std::optional<time_point> removedAt;
    };

    void onEpoch(store_epoch, time_point now);
    // Whether an entry of a snapshot is one that a restore has brought back, since the runner has reported later.
    bool isBroughtBack(const change&, store_epoch) const;
    void set(const listed_runner&, store_epoch);
    void remove(const runner_id&, time_point now);
    void erase(const runner_id&, time_point now);

    std::unordered_map<runner_id, listed_runner> m_runners;
    // Entries that expired while the store was unreachable, with the time until which they are kept.
    std::unordered_map<runner_id, time_point> m_expiryTimes;
    std::unordered_map<runner_id, last_report> m_lastReports;
    // Restores before the newest changes. Nothing before the first changes.
    std::optional<store_epoch> m_epoch;
    bool m_isReachable = true;
    time_point m_unreachableSince;
    std::optional<time_point> m_reachableAgainAt;
    std::uint64_t m_digest = 0;
};

}
