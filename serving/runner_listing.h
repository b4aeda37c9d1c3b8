#pragma once

#include "serving/listed_runner.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace sardinelb {

// The runners that the platform lists, put together from changes. A runner whose entry lapsed while the store was away
// is kept until the runner has had time to register again. Pure state machine.
class runner_listing {
public:
    // One changed entry; `runner` is empty if the entry no longer exists or names no runner to use.
    struct change {
        runner_id id;
        std::optional<listed_runner> runner;
    };

    // Takes changes. With `isFullSnapshot`, entries that are not among them no longer exist.
    void apply(const std::vector<change>&, bool isFullSnapshot, time_point now);

    // The store answers again, or no longer.
    void onStoreReachabilityChanged(bool isReachable, time_point now);

    // Runners in use now. Call again after nextExpiry().
    std::vector<listed_runner> runners(time_point now);

    // Digest of what runners() returned last; equal lists have equal digests.
    std::uint64_t digest() const { return m_digest; }

    // When an entry that was kept will be dropped, if there is one.
    std::optional<time_point> nextExpiry() const;

private:
    void remove(const runner_id&, time_point now);

    std::unordered_map<runner_id, listed_runner> m_runners;
    // Entries that lapsed while the store was away, by the time until which they are kept.
    std::unordered_map<runner_id, time_point> m_lapsing;
    bool m_isReachable = true;
    time_point m_awaySince;
    std::optional<time_point> m_backAt;
    std::uint64_t m_digest = 0;
};

}
