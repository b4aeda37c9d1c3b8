#include "serving/runner_limit.h"

#include <algorithm>
#include <cmath>

namespace sardinelb {

namespace {

// An entry that uses a limited runner sends it at least this many requests a second, so that it learns when the limit ends.
constexpr double minRequestsPerSecond = 0.1;

// A limited runner is used by this many entries, and by more with a higher limit, so that no availability zone goes without. If all of them send
// the request that they have saved up at the same moment, the excess is that of two seconds and these few requests.
constexpr double minUsers = 4;
constexpr double usersPerRequestPerSecond = 2;

// What an entry may send in this time, or a single request, is the most that it saves up.
constexpr duration savedTime = std::chrono::milliseconds(100);

// Without updates from another entry, a limit that was received from it is forgotten after this time. Heartbeats come twice a second.
constexpr duration updateTimeout = std::chrono::seconds(5);

// The end of a limit is shared for this long, in case heartbeats are lost.
constexpr duration endSharedFor = std::chrono::seconds(20);

}

void runner_limit::onAnswer(std::optional<double> requestsPerSecond, time_point now)
{
    apply(requestsPerSecond, now, now);
    m_isOwnAnswer = true;
}

void runner_limit::onUpdate(const runner_limit_update& update, time_point now)
{
    if (update.requestsPerSecond)
        m_limitedAt = now;
    const time_point answeredAt = now - update.age;
    if (m_answeredAt && answeredAt < *m_answeredAt)
        return;
    apply(update.requestsPerSecond, answeredAt, now);
    m_isOwnAnswer = false;
}

void runner_limit::apply(std::optional<double> requestsPerSecond, time_point answeredAt, time_point now)
{
    m_tokens = m_limit ? tokensAt(now) : 0;
    m_tokensAt = now;
    if (m_limit || requestsPerSecond)
        m_limitedAt = now;
    m_limit = requestsPerSecond;
    m_answeredAt = answeredAt;
    m_heardAt = now;
}

void runner_limit::setPosition(std::size_t position, std::size_t entryCount)
{
    m_position = position;
    m_entryCount = std::max<std::size_t>(entryCount, 1);
}

double runner_limit::ownRate() const
{
    const double limit = std::max(*m_limit, minRequestsPerSecond);
    const double mostUsers = std::max(1.0, std::min(std::floor(limit / minRequestsPerSecond), static_cast<double>(m_entryCount)));
    const double users = std::min(std::floor(minUsers + usersPerRequestPerSecond * limit), mostUsers);
    return static_cast<double>(m_position) < users ? limit / users : 0;
}

double runner_limit::tokensAt(time_point now) const
{
    const double seconds = std::chrono::duration<double>(now - m_tokensAt).count();
    const double rate = ownRate();
    const double most = std::max(1.0, rate * std::chrono::duration<double>(savedTime).count());
    return std::min(most, m_tokens + seconds * rate);
}

bool runner_limit::isInForce(time_point now) const
{
    const bool isForgotten = !m_isOwnAnswer && now - m_heardAt > updateTimeout;
    return m_limit && !isForgotten;
}

void runner_limit::extendWarmUp(time_point until)
{
    m_warmUpUntil = std::max(m_warmUpUntil, until);
}

void runner_limit::onCold(time_point until)
{
    m_coldUntil = std::max(m_coldUntil, until);
    extendWarmUp(until);
}

void runner_limit::onColdUpdate(time_point until)
{
    m_reportedColdUntil = std::max(m_reportedColdUntil, until);
    extendWarmUp(until);
}

void runner_limit::endWarmUp()
{
    m_warmUpUntil = {};
    m_coldUntil = {};
    m_reportedColdUntil = {};
}

std::optional<duration> runner_limit::coldTimeLeft(time_point now) const
{
    return now < m_coldUntil ? std::optional(m_coldUntil - now) : std::nullopt;
}

std::optional<std::uint32_t> runner_limit::sendableByNamedLimit(time_point now) const
{
    if (!isInForce(now))
        return std::nullopt;
    return static_cast<std::uint32_t>(std::max(0.0, tokensAt(now)));
}

std::optional<std::uint32_t> runner_limit::sendable(time_point now) const
{
    return isWarmingUp(now) ? std::optional(sendableWhenCold(now)) : sendableByNamedLimit(now);
}

std::uint32_t runner_limit::sendableWhenCold(time_point now) const
{
    const bool isDue = !m_lastSentAt || std::chrono::duration<double>(now - *m_lastSentAt).count() * m_warmUpShare >= 1;
    const std::uint32_t whenCold = isDue && m_warmUpShare > 0 && now >= m_warmUpStart ? 1 : 0;
    return std::min(whenCold, sendableByNamedLimit(now).value_or(whenCold));
}

void runner_limit::onSent(time_point now)
{
    m_lastSentAt = now;
    if (!m_limit)
        return;
    m_tokens = tokensAt(now) - 1;
    m_tokensAt = now;
}

std::optional<runner_limit_update> runner_limit::update(const runner_process_id& runner, time_point now) const
{
    // The end of a limit interests only those that may still keep to it.
    const bool isOfInterest = m_limit || (m_limitedAt && now - *m_limitedAt <= endSharedFor);
    if (!m_answeredAt || !m_isOwnAnswer || !isOfInterest)
        return std::nullopt;
    return runner_limit_update { runner, m_limit, now - *m_answeredAt };
}

}
