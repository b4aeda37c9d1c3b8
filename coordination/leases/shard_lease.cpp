#include "coordination/leases/shard_lease.h"

#include "coordination/leases/limit_lease_settings.h"
#include "coordination/messages/lease_grant_message.h"

#include <algorithm>
#include <cmath>

namespace sardinelb {

namespace {

// Long enough to detect that an entry receives a request of a team about every ten seconds.
constexpr duration demandTimeConstant = std::chrono::seconds(20);
// A lease is renewed when it ends within this time or does not cover the demand expected within this time.
constexpr duration renewalLead = std::chrono::milliseconds(400);
// The lease of a team with at least one request per this time at an entry is renewed before it runs out.
constexpr duration steadyDemandSpan = std::chrono::seconds(1);
// A team without requests for this long has no steady demand, and its last use has been reported.
constexpr duration activityTimeout = std::chrono::seconds(5);
// Unused tokens are returned at once while more than this fraction of the burst is in use.
constexpr double returnPressureThreshold = 0.5;
// A difference below this fraction of the burst is reported only with the next message.
constexpr double reportThreshold = 0.05;

token_count toTokens(double tokens)
{
    return token_count(static_cast<std::int64_t>(tokens));
}

bool exceeds(const limit_amount& amount, const limit_amount& bound)
{
    return amount.tokens > bound.tokens || amount.requests > bound.requests;
}

}

shard_lease::shard_lease()
    : m_demand(demandTimeConstant)
{
}

void shard_lease::recordDemand(const limit_amount& amount, time_point now)
{
    m_demand.add(amount, now);
    m_lastUseAt = now;
}

void shard_lease::dropExpired(time_point now)
{
    if (m_heldUntil <= now)
        m_held = {};
    if (m_urgentUntil <= now)
        m_urgent = {};
}

void shard_lease::consume(const limit_amount& amount)
{
    const limit_amount fromUrgent = componentwiseMin(m_urgent, amount);
    m_urgent -= fromUrgent;
    m_held -= amount - fromUrgent;
    m_totalUsed += amount;
}

bool shard_lease::holds(const limit_amount& amount, time_point now) const
{
    return m_heldUntil > now && m_held.covers(amount);
}

bool shard_lease::isOwnerSilent(time_point now) const
{
    return m_ownerSilentSince && now - *m_ownerSilentSince >= limit_lease_settings::maxLeaseWait;
}

// Once per probe period a silent owner counts as reachable, so that a waiting request probes it.
bool shard_lease::isOwnerUnreachable(time_point now) const
{
    const bool isProbeDue = now - m_sentAt >= limit_lease_settings::probePeriod;
    return now < m_notReadyUntil || (isOwnerSilent(now) && !isProbeDue);
}

void shard_lease::markOwnerUnreachable(time_point now)
{
    if (m_unreachableSince)
        return;
    m_unreachableSince = now;
    // The fallback credit is granted again only after the owner has been reachable for a long time, so that a flapping
    // connection does not multiply it.
    if (now - m_reachableSince >= limit_lease_settings::idleTime)
        m_fallback.reset();
    else if (m_fallback)
        m_fallback->skipRefill(now);
}

void shard_lease::markOwnerReachable(time_point now)
{
    if (m_unreachableSince)
        m_reachableSince = now;
    m_unreachableSince.reset();
}

bool shard_lease::spendFallback(const limit_amount& amount, const limit_share& share, time_point now)
{
    if (!m_fallback)
        m_fallback.emplace(share, share.burst * limit_lease_settings::fallbackCredit, m_unreachableSince.value_or(now));
    m_fallback->setShare(share);
    m_fallback->refill(now, {});
    if (!m_fallback->covers(amount, {}))
        return false;
    m_fallback->take(amount);
    m_totalUsed += amount;
    return true;
}

spend_result shard_lease::spend(const request_id& request, const limit_amount& amount, const limit_share& fallback,
    bool canWait, time_point now)
{
    dropExpired(now);
    const bool isUnanswered = m_isAwaitingAnswer && !canWait;
    spend_result result = spend_result::Refused;
    if (totalHeld().covers(amount)) {
        consume(amount);
        result = spend_result::Spent;
    } else if (isOwnerUnreachable(now) || isUnanswered) {
        markOwnerUnreachable(m_ownerSilentSince.value_or(now));
        result = spendFallback(amount, fallback, now) ? spend_result::Spent : spend_result::Refused;
    } else if (canWait && now >= m_deniedUntil) {
        result = spend_result::Wait;
    }
    const auto position = std::ranges::find(m_waitingRequests, request, &waiting_request::request);
    if (result == spend_result::Wait && position == m_waitingRequests.end())
        m_waitingRequests.push_back({ request, amount });
    else if (result != spend_result::Wait && position != m_waitingRequests.end())
        m_waitingRequests.erase(position);
    return result;
}

void shard_lease::stopWaiting(const request_id& request)
{
    std::erase_if(m_waitingRequests, [&request](const waiting_request& waiting) { return waiting.request == request; });
}

void shard_lease::correct(const limit_amount& more, time_point now)
{
    dropExpired(now);
    m_totalUsed += more;
    m_lastUseAt = now;
    if (m_heldUntil > now)
        m_held = componentwiseMax(m_held - more, {});
}

limit_amount shard_lease::shortfallOfFirstWaiting() const
{
    if (m_waitingRequests.empty())
        return {};
    return componentwiseMax(m_waitingRequests.front().amount - totalHeld(), {});
}

limit_amount shard_lease::amountOfOtherWaiting() const
{
    limit_amount sum;
    for (std::size_t i = 1; i < m_waitingRequests.size(); ++i)
        sum += m_waitingRequests[i].amount;
    return sum;
}

// Whole requests expected during the validity of a lease, with the tokens that they use on average.
limit_amount shard_lease::forecast(time_point now) const
{
    const bool isNearLimit = m_pressure >= returnPressureThreshold;
    const duration horizon = isNearLimit ? limit_lease_settings::shortValidity : limit_lease_settings::longValidity;
    const limit_amount expected = m_demand.expectedWithin(horizon, now);
    const double requests = std::floor(expected.requests);
    if (requests < 1)
        return {};
    return { expected.tokens * requests / expected.requests, requests };
}

lease_request_message shard_lease::message(
    std::uint64_t sequence, const limit_amount& needed, const limit_amount& ahead, time_point now)
{
    lease_request_message request;
    request.sequence = sequence;
    request.wanted = toTokens(std::ceil(needed.tokens + ahead.tokens));
    request.requestsWanted = needed.requests + ahead.requests;
    request.needed = toTokens(std::ceil(needed.tokens));
    request.requestsNeeded = needed.requests;
    request.used = toTokens(m_totalUsed.tokens);
    request.requestsUsed = m_totalUsed.requests;
    request.held = toTokens(totalHeld().tokens);
    request.requestsHeld = totalHeld().requests;
    request.firstContact = !m_isKnownToOwner;
    m_lastSequence = sequence;
    m_sentAt = now;
    m_reportedTotalUsed = m_totalUsed;
    m_openAtOwner = totalHeld();
    m_requestedNeed = needed;
    m_isAwaitingAnswer = request.wanted.value() > 0 || request.requestsWanted > 0;
    if (m_isAwaitingAnswer && !m_ownerSilentSince)
        m_ownerSilentSince = now;
    return request;
}

std::optional<lease_request_message> shard_lease::urgentRequest(std::uint64_t sequence, time_point now)
{
    dropExpired(now);
    const limit_amount needed = shortfallOfFirstWaiting();
    const bool isAnswerDue = m_isAwaitingAnswer && now - m_sentAt < limit_lease_settings::answerTimeout;
    const bool isLacking = needed.tokens > 0 || needed.requests > 0;
    if (!isLacking || isAnswerDue || isOwnerUnreachable(now) || now < m_deniedUntil)
        return std::nullopt;
    return message(sequence, needed, amountOfOtherWaiting() + forecast(now), now);
}

bool shard_lease::isActive(time_point now) const
{
    return !m_isAwaitingAnswer && now - m_lastUseAt <= activityTimeout;
}

bool shard_lease::isRenewalDue(time_point now) const
{
    if (now < m_deniedUntil || isOwnerUnreachable(now))
        return false;
    if (m_demand.expectedWithin(steadyDemandSpan, now).requests < 1)
        return false;
    const bool endsSoon = m_heldUntil - now < renewalLead;
    return endsSoon || !m_held.covers(m_demand.expectedWithin(renewalLead, now));
}

limit_amount shard_lease::unreportedSurplus() const
{
    return m_openAtOwner - (m_totalUsed - m_reportedTotalUsed) - totalHeld();
}

bool shard_lease::isReportDue(const limit_share& share) const
{
    if (!m_isKnownToOwner)
        return false;
    const limit_amount threshold = share.burst * reportThreshold;
    const limit_amount credit = unreportedSurplus();
    const bool owes = exceeds(limit_amount() - credit, threshold);
    return owes || (m_pressure >= returnPressureThreshold && exceeds(credit, threshold));
}

std::optional<lease_request_message> shard_lease::periodicRequest(
    std::uint64_t sequence, const limit_share& share, time_point now)
{
    if (!isActive(now))
        return std::nullopt;
    dropExpired(now);
    if (isRenewalDue(now)) {
        const limit_amount ahead = componentwiseMax(forecast(now) - m_held, {});
        if (ahead.requests >= 1)
            return message(sequence, {}, ahead, now);
    }
    if (isReportDue(share))
        return message(sequence, {}, {}, now);
    return std::nullopt;
}

void shard_lease::granted(const lease_grant_message& grant, time_point now)
{
    // Only the answer to the last message counts. An older grant returns to the owner, since the last message does not report
    // it as held.
    if (!m_isAwaitingAnswer || grant.sequence != m_lastSequence)
        return;
    m_isAwaitingAnswer = false;
    m_ownerSilentSince.reset();
    dropExpired(now);
    if (grant.verdict == lease_verdict::NotReady) {
        m_notReadyUntil = now + grant.retryAfter;
        markOwnerUnreachable(now);
        return;
    }
    m_isKnownToOwner = true;
    markOwnerReachable(now);
    m_pressure = grant.pressure;
    m_deniedUntil = now + grant.retryAfter;
    if (grant.verdict == lease_verdict::Denied)
        return;
    const limit_amount amount { static_cast<double>(grant.granted.value()), grant.requestsGranted };
    m_urgent += m_requestedNeed;
    m_urgentUntil = m_sentAt + limit_lease_settings::maxLeaseWait;
    m_held += amount - m_requestedNeed;
    m_heldUntil = m_sentAt + grant.validFor;
    m_openAtOwner += amount;
}

void shard_lease::onOwnerChanged(time_point now)
{
    dropExpired(now);
    m_isAwaitingAnswer = false;
    m_ownerSilentSince.reset();
    m_isKnownToOwner = false;
    m_deniedUntil = {};
    m_notReadyUntil = {};
    m_reportedTotalUsed = m_totalUsed;
    m_openAtOwner = totalHeld();
}

bool shard_lease::isIdle(time_point now) const
{
    return m_waitingRequests.empty() && m_lastUseAt + limit_lease_settings::idleTime < now;
}

}
