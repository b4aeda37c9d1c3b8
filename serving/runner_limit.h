#pragma once

#include "serving/runner_limit_update.h"
#include "state/time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace sardinelb {

// The rate that a runner takes from all entries together, and the part of it that one entry may use. It has two sources, of which the
// lower one counts: the limit that the runner names in its answers, and the rate at which it takes requests while it is cold.
//
// All entries together stay within a named limit: a few of them use the runner, more with a higher limit, each with an equal part and
// hardly saving up for a burst. While the runner is cold, each entry sends evenly spaced requests. Handles runners that come back cold
// all at once, and entries that have just started. That a runner is cold is known from its start, from the list and from its responses, but
// not from its health answers. Pure state machine.
class runner_limit {
public:
    // An answer to this entry named this limit, or none.
    void onAnswer(std::optional<double> requestsPerSecond, time_point now);

    // Another entry got an answer.
    void onUpdate(const runner_limit_update&, time_point now);

    // Sets the position of this entry among those that may use the runner, from 0, in an order on which all entries agree.
    void setPosition(std::size_t position, std::size_t entryCount);

    // The runner may be cold until then. Never shortens a warm-up.
    void extendWarmUp(time_point until);

    // The same, as the runner itself says in the list or in an answer to this entry, which the other entries are told.
    void onCold(time_point until);

    // The same, as the runner said to another entry. Not passed on, because each transfer makes the time a little later.
    void onColdUpdate(time_point until);

    // The runner takes as much as others at once, whatever it has said.
    void endWarmUp();

    // Keeps the spacing of requests to the process that had the runner's id before. This entry last sent it a request at that time.
    void setLastSentAt(std::optional<time_point> at) { m_lastSentAt = at; }
    const std::optional<time_point>& lastSentAt() const { return m_lastSentAt; }

    // Before this time the runner gets nothing while it is cold: a process of this entry that has ended may have sent it something.
    void setWarmUpStart(time_point notBefore) { m_warmUpStart = notBefore; }

    // Sets what this entry may send the runner while it is cold, in requests a second. See warm_up_limit.h.
    void setWarmUpShare(double requestsPerSecond) { m_warmUpShare = requestsPerSecond; }

    bool isWarmingUp(time_point now) const { return now < m_warmUpUntil; }

    // Whether the runner has said, to this entry or another one, that it is cold.
    bool isCold(time_point now) const { return now < std::max(m_coldUntil, m_reportedColdUntil); }

    // How much longer the runner is cold by its own word to this entry. Nothing if it is not.
    std::optional<duration> coldTimeLeft(time_point now) const;

    void onSent(time_point now);

    // Number of requests that this entry may send now. Nothing if there is no limit.
    std::optional<std::uint32_t> sendable(time_point now) const;

    // The same for a runner that is cold, or of which it isn't known.
    std::uint32_t sendableWhenCold(time_point now) const;

    // The limit that was named last, for all entries together.
    const std::optional<double>& requestsPerSecond() const { return m_limit; }

    // For the other entries. Nothing if another entry has learned more lately.
    std::optional<runner_limit_update> update(const runner_process_id&, time_point now) const;

private:
    bool isInForce(time_point now) const;
    std::optional<std::uint32_t> sendableByNamedLimit(time_point now) const;
    // Requests a second that this entry may send.
    double ownRate() const;
    double tokensAt(time_point now) const;
    void apply(std::optional<double> requestsPerSecond, time_point answeredAt, time_point now);

    std::optional<double> m_limit;
    // When the runner gave the answer on which the limit rests, and when this entry last heard of it.
    std::optional<time_point> m_answeredAt;
    time_point m_heardAt;
    bool m_isOwnAnswer = false;
    // When any entry last took the runner for limited.
    std::optional<time_point> m_limitedAt;
    std::size_t m_position = 0;
    std::size_t m_entryCount = 1;
    double m_tokens = 0;
    time_point m_tokensAt;
    time_point m_warmUpUntil;
    // The part of the warm-up that the runner itself has stated, to this entry and to others.
    time_point m_coldUntil;
    time_point m_reportedColdUntil;
    double m_warmUpShare = 0;
    time_point m_warmUpStart;
    std::optional<time_point> m_lastSentAt;
};

}
