#pragma once

#include "state/time.h"

#include <chrono>

namespace sardinelb {

// Parameters of the protocol by which limit owners lease parts of a team's limits to entries. All daemons use the same
// values.
struct limit_lease_settings {
    // Validity of a lease while less than half of the burst is in use. Long leases save messages. Tokens that lie unused
    // at one entry are not available to the others, but are never granted twice.
    static constexpr duration longValidity = std::chrono::seconds(10);
    // Validity of a lease while the team is near its limit.
    static constexpr duration shortValidity = std::chrono::seconds(1);
    // A new owner grants nothing for this long, so that a predecessor that is still alive can learn of the change. Half a
    // second at the limit's rate is 2.5% of what the contract allows over ten seconds.
    static constexpr duration takeoverWait = std::chrono::milliseconds(500);
    // A handover message that arrives later than this after the change of owner is ignored.
    static constexpr duration handoverValidity = std::chrono::seconds(5);
    // Interval at which entries send their renewals and reports in batches.
    static constexpr duration batchPeriod = std::chrono::milliseconds(200);
    // An entry repeats a request that has not been answered within this time.
    static constexpr duration answerTimeout = std::chrono::milliseconds(50);
    // A request waits at most this long for a lease. An owner that has been silent for this long counts as unreachable.
    static constexpr duration maxLeaseWait = std::chrono::milliseconds(150);
    // Fraction of an entry's equal share of the burst that it may use at once when the owner becomes unreachable.
    static constexpr double fallbackCredit = 0.05;
    // Interval at which an entry probes an unreachable owner.
    static constexpr duration probePeriod = std::chrono::milliseconds(500);
    // Bounds on the time for which an entry does not ask again after a denial. An empty bucket is full after ten seconds.
    static constexpr duration minDenialTime = std::chrono::milliseconds(100);
    static constexpr duration maxDenialTime = std::chrono::seconds(10);
    // State that has not been used for this long is dropped. Nearly all requests take less time than this, so the owner
    // can still match their settlement.
    static constexpr duration idleTime = std::chrono::seconds(120);
};

}
