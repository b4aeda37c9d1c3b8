#include "coordination/leases/shard_lease.h"

#include "coordination/leases/limit_lease_settings.h"
#include "coordination/messages/lease_grant_message.h"

#include <algorithm>
#include <cmath>

namespace sardinelb {

namespace {

// Long enough to see that an entry gets a request of a team every ten seconds or so.
constexpr duration demandTimeConstant = std::chrono::seconds(20);
// A lease is renewed when it covers less than this much of the expected demand, or ends that soon.
constexpr duration renewalLead = std::chrono::milliseconds(400);
// Teams with at least one request per this time at one entry have their leases renewed before they run out.
constexpr duration steadyDemandSpan = std::chrono::seconds(1);
// Teams that have been quiet for this long have no steady demand, and their last use has been reported.
constexpr duration longestPause = std::chrono::seconds(5);
// Above this share of the burst in use, unused tokens are given back at once.
constexpr double givesBackAbovePressure = 0.5;
// A difference below this part of the burst waits for the next message.
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

void shard_lease::lapse(time_point now)
{
    if (m_heldUntil <= now)
        m_held = {};
    if (m_urgentUntil <= now)
        m_urgent = {};
}

void shard_lease::take(const limit_amount& amount)
{
    const limit_amount fromUrgent = componentwiseMin(m_urgent, amount);
    m_urgent -= fromUrgent;
    m_held -= amount - fromUrgent;
    m_used += amount;
}

bool shard_lease::holds(const limit_amount& amount, time_point now) const
{
    return m_heldUntil > now && m_held.covers(amount);
}

bool shard_lease::isSilent(time_point now) const
{
    return m_silentSince && now - *m_silentSince >= limit_lease_settings::maxLeaseWait;
}

// A silent owner is tried again, with a request that waits, once in each probe period.
bool shard_lease::isOutOfReach(time_point now) const
{
    const bool isProbeDue = now - m_sentAt >= limit_lease_settings::probePeriod;
    return now < m_notReadyUntil || (isSilent(now) && !isProbeDue);
}

void shard_lease::loseReach(time_point now)
{
    if (m_outOfReachSince)
        return;
    m_outOfReachSince = now;
    // The credit is given anew only after a long time in reach, so that a flapping connection does not multiply it.
    if (now - m_reachedSince >= limit_lease_settings::idleTime)
        m_fallback.reset();
    else if (m_fallback)
        m_fallback->skipRefill(now);
}

void shard_lease::regainReach(time_point now)
{
    if (m_outOfReachSince)
        m_reachedSince = now;
    m_outOfReachSince.reset();
}

bool shard_lease::spendFallback(const limit_amount& amount, const limit_share& share, time_point now)
{
    if (!m_fallback)
        m_fallback.emplace(share, share.burst * limit_lease_settings::fallbackCredit, m_outOfReachSince.value_or(now));
    m_fallback->setShare(share);
    m_fallback->refill(now, {});
    if (!m_fallback->covers(amount, {}))
        return false;
    m_fallback->take(amount);
    m_used += amount;
    return true;
}

spend_result shard_lease::spend(const request_id& request, const limit_amount& amount, const limit_share& fallback,
    bool mayWait, time_point now)
{
    lapse(now);
    const bool isUnanswered = m_awaitsAnswer && !mayWait;
    spend_result result = spend_result::Refused;
    if (heldInAll().covers(amount)) {
        take(amount);
        result = spend_result::Spent;
    } else if (isOutOfReach(now) || isUnanswered) {
        loseReach(m_silentSince.value_or(now));
        result = spendFallback(amount, fallback, now) ? spend_result::Spent : spend_result::Refused;
    } else if (mayWait && now >= m_deniedUntil) {
        result = spend_result::Wait;
    }
    const auto position = std::ranges::find(m_waiting, request, &waiting_request::request);
    if (result == spend_result::Wait && position == m_waiting.end())
        m_waiting.push_back({ request, amount });
    else if (result != spend_result::Wait && position != m_waiting.end())
        m_waiting.erase(position);
    return result;
}

void shard_lease::stopWaiting(const request_id& request)
{
    std::erase_if(m_waiting, [&request](const waiting_request& waiting) { return waiting.request == request; });
}

void shard_lease::correct(const limit_amount& more, time_point now)
{
    lapse(now);
    m_used += more;
    m_lastUseAt = now;
    if (m_heldUntil > now)
        m_held = componentwiseMax(m_held - more, {});
}

limit_amount shard_lease::lackOfFirstWaiting() const
{
    if (m_waiting.empty())
        return {};
    return componentwiseMax(m_waiting.front().amount - heldInAll(), {});
}

limit_amount shard_lease::otherWaiting() const
{
    limit_amount sum;
    for (std::size_t i = 1; i < m_waiting.size(); ++i)
        sum += m_waiting[i].amount;
    return sum;
}

// Whole requests expected while a lease is valid, with the tokens that such requests take on average.
limit_amount shard_lease::forecast(time_point now) const
{
    const bool isNearLimit = m_pressure >= givesBackAbovePressure;
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
    request.used = toTokens(m_used.tokens);
    request.requestsUsed = m_used.requests;
    request.held = toTokens(heldInAll().tokens);
    request.requestsHeld = heldInAll().requests;
    request.firstContact = !m_isKnownToOwner;
    m_sequence = sequence;
    m_sentAt = now;
    m_reportedUsed = m_used;
    m_open = heldInAll();
    m_needed = needed;
    m_awaitsAnswer = request.wanted.value() > 0 || request.requestsWanted > 0;
    if (m_awaitsAnswer && !m_silentSince)
        m_silentSince = now;
    return request;
}

std::optional<lease_request_message> shard_lease::urgentRequest(std::uint64_t sequence, time_point now)
{
    lapse(now);
    const limit_amount needed = lackOfFirstWaiting();
    const bool isAnswerDue = m_awaitsAnswer && now - m_sentAt < limit_lease_settings::answerTimeout;
    const bool isLacking = needed.tokens > 0 || needed.requests > 0;
    if (!isLacking || isAnswerDue || isOutOfReach(now) || now < m_deniedUntil)
        return std::nullopt;
    return message(sequence, needed, otherWaiting() + forecast(now), now);
}

bool shard_lease::isActive(time_point now) const
{
    return !m_awaitsAnswer && now - m_lastUseAt <= longestPause;
}

bool shard_lease::isRenewalDue(time_point now) const
{
    if (now < m_deniedUntil || isOutOfReach(now))
        return false;
    if (m_demand.expectedWithin(steadyDemandSpan, now).requests < 1)
        return false;
    const bool endsSoon = m_heldUntil - now < renewalLead;
    return endsSoon || !m_held.covers(m_demand.expectedWithin(renewalLead, now));
}

// What the owner counts as open beyond what is held: positive when it was not used, negative when more was used.
limit_amount shard_lease::unsettled() const
{
    return m_open - (m_used - m_reportedUsed) - heldInAll();
}

bool shard_lease::isReportDue(const limit_share& share) const
{
    if (!m_isKnownToOwner)
        return false;
    const limit_amount threshold = share.burst * reportThreshold;
    const limit_amount credit = unsettled();
    const bool owes = exceeds(limit_amount() - credit, threshold);
    return owes || (m_pressure >= givesBackAbovePressure && exceeds(credit, threshold));
}

std::optional<lease_request_message> shard_lease::periodicRequest(
    std::uint64_t sequence, const limit_share& share, time_point now)
{
    if (!isActive(now))
        return std::nullopt;
    lapse(now);
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
    // Only the answer to the last message counts: an older grant is returned by what the last message reports.
    if (!m_awaitsAnswer || grant.sequence != m_sequence)
        return;
    m_awaitsAnswer = false;
    m_silentSince.reset();
    lapse(now);
    if (grant.verdict == lease_verdict::NotReady) {
        m_notReadyUntil = now + grant.retryAfter;
        loseReach(now);
        return;
    }
    m_isKnownToOwner = true;
    regainReach(now);
    m_pressure = grant.pressure;
    m_deniedUntil = now + grant.retryAfter;
    if (grant.verdict == lease_verdict::Denied)
        return;
    const limit_amount amount { static_cast<double>(grant.granted.value()), grant.requestsGranted };
    m_urgent += m_needed;
    m_urgentUntil = m_sentAt + limit_lease_settings::maxLeaseWait;
    m_held += amount - m_needed;
    m_heldUntil = m_sentAt + grant.validFor;
    m_open += amount;
}

void shard_lease::onOwnerChanged(time_point now)
{
    lapse(now);
    m_awaitsAnswer = false;
    m_silentSince.reset();
    m_isKnownToOwner = false;
    m_deniedUntil = {};
    m_notReadyUntil = {};
    m_reportedUsed = m_used;
    m_open = heldInAll();
}

bool shard_lease::isIdle(time_point now) const
{
    return m_waiting.empty() && m_lastUseAt + limit_lease_settings::idleTime < now;
}

}
