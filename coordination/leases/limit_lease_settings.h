#pragma once

#include "state/time.h"

#include <chrono>

namespace sardinelb {

// Times of the lease protocol between entries and limit owners. All daemons use the same values.
struct limit_lease_settings {
    // Validity of a lease while less than half of the burst is in use. Long leases save messages; what lies unused at
    // an entry is not available elsewhere, but it is never handed out twice.
    static constexpr duration longValidity = std::chrono::seconds(10);
    // Validity of a lease while the team is near its limit.
    static constexpr duration shortValidity = std::chrono::seconds(1);
    // A new owner hands out nothing for this long, so that a predecessor that is still alive can learn of the change.
    // Half a second of the rate is 2.5% of what the contract allows over ten seconds.
    static constexpr duration takeoverWait = std::chrono::milliseconds(500);
    // A handover that arrives later than this after the change of the owner is ignored.
    static constexpr duration handoverValidity = std::chrono::seconds(5);
    // Entries send renewals and reports in batches with this period.
    static constexpr duration batchPeriod = std::chrono::milliseconds(200);
    // An entry asks again when an answer has not come within this time.
    static constexpr duration answerTimeout = std::chrono::milliseconds(50);
    // A request waits this long for a lease. An owner that is silent for so long counts as out of reach.
    static constexpr duration maxLeaseWait = std::chrono::milliseconds(150);
    // Part of an entry's equal share of the burst that it may use at once when its owner is out of reach.
    static constexpr double fallbackCredit = 0.05;
    // How often an entry tries an owner that is out of reach.
    static constexpr duration probePeriod = std::chrono::milliseconds(500);
    // Bounds on the time for which an entry does not ask again after a denial. Ten seconds fill an empty bucket.
    static constexpr duration minDenialTime = std::chrono::milliseconds(100);
    static constexpr duration maxDenialTime = std::chrono::seconds(10);
    // State that was not used for this long is dropped. It exceeds the run time of nearly all requests, whose late
    // settlement the owner can then still match.
    static constexpr duration idleTime = std::chrono::seconds(120);
};

}
