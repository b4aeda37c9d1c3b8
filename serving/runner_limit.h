#pragma once

#include "serving/runner_limit_update.h"
#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace sardinelb {

// The limit that a runner names, and the part of it that one entry may use. All entries together stay within the limit: a few of them
// use the runner, more with a higher limit, each with an equal part and hardly saving up for a burst. Pure state machine.
class runner_limit {
public:
    // An answer to this entry named this limit, or none.
    void onAnswer(std::optional<double> requestsPerSecond, time_point now);

    // Another entry got an answer.
    void onUpdate(const runner_limit_update&, time_point now);

    // Sets the position of this entry among those that may use the runner, from 0, in an order on which all entries agree.
    void setPosition(std::size_t position, std::size_t entryCount);

    void onSent(time_point now);

    // Number of requests that this entry may send now. Nothing if there is no limit.
    std::optional<std::uint32_t> sendable(time_point now) const;

    // The limit that was named last, for all entries together.
    const std::optional<double>& requestsPerSecond() const { return m_limit; }

    // For the other entries. Nothing if another entry has learned more lately.
    std::optional<runner_limit_update> update(const runner_process_id&, time_point now) const;

private:
    bool isInForce(time_point now) const;
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
};

}
