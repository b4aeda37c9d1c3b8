#include "coordination/limits/limit_owner.h"

#include "coordination/leases/limit_lease_settings.h"
#include "coordination/limits/limit_bucket.h"
#include "coordination/limits/limit_shard.h"
#include "coordination/limits/limit_share.h"
#include "coordination/limits/ownership_history.h"
#include "state/derived_limits.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <iterator>
#include <unordered_map>
#include <utility>

namespace sardinelb {

namespace {

// Retry delay for an entry that asks a daemon that is not the owner. Lists of live daemons differ for about this long.
constexpr duration notOwnerRetryDelay = std::chrono::milliseconds(200);
// Entries that compete for an exhausted shard are told to retry after a delay proportional to their number, so that the
// owner sends about five answers per second. It sends more with over fifty such entries, because the delay is limited
// to ten seconds.
constexpr duration retrySpacing = std::chrono::milliseconds(200);
// Up to this many competing entries may retry as soon as the shard can have refilled.
constexpr std::ptrdiff_t unspacedEntries = 5;
// A forecast is granted at most this fraction of the free amount, so that the first entry to ask does not get all of
// it.
constexpr double forecastFraction = 0.25;
constexpr double forecastFractionNearLimit = 0.25;
constexpr double nearLimitPressure = 0.5;
// A bucket that was empty at takeover is full after this time, because the burst is ten seconds of the rate.
constexpr duration fillTime = std::chrono::seconds(10);
constexpr duration historyHorizon = limit_lease_settings::takeoverWait + fillTime;

// The owner's record of the lease of one entry.
struct entry_lease {
    incarnation ofEntry;
    std::uint64_t sequence = 0;
    // Cumulative use that the entry reported in its last message.
    limit_amount used;
    // Amount granted or reported as held that has not been reported as used yet.
    limit_amount outstanding;
    // Part of it that the entry may hold for the validity of the lease, and the part that it uses at once or not at
    // all.
    limit_amount retained;
    time_point retainedUntil;
    limit_amount urgent;
    time_point urgentUntil;
    time_point seenAt;
    std::optional<time_point> deniedAt;
};

// Bucket level of the previous owner, and the time at which it was received.
struct handover {
    limit_amount left;
    time_point at;
};

struct shard_state {
    limit_bucket bucket;
    // Number of shards of the team's limits when this state was created.
    std::uint32_t shards = 1;
    derived_limits limits;
    std::unordered_map<daemon_id, entry_lease> leases;

    std::optional<time_point> lastDenialAt;
    // Amount granted since this state was created, minus corrections from reports.
    limit_amount granted;

    // Minimum time between requests of one entry; zero unless many entries were denied recently.
    duration retryInterval(time_point now) const
    {
        if (!lastDenialAt || *lastDenialAt + limit_lease_settings::maxDenialTime <= now)
            return {};
        const auto competing = std::ranges::count_if(leases, [now](const auto& lease) {
            return lease.second.deniedAt && *lease.second.deniedAt + limit_lease_settings::maxDenialTime > now;
        });
        const auto spaced = std::max<std::ptrdiff_t>(0, competing - unspacedEntries);
        return std::min(limit_lease_settings::maxDenialTime, retrySpacing * spaced);
    }

    limit_amount leased(time_point now) const
    {
        limit_amount sum;
        for (const auto& [entry, lease] : leases) {
            if (lease.retainedUntil > now)
                sum += lease.retained;
            if (lease.urgentUntil > now)
                sum += lease.urgent;
        }
        return sum;
    }
};

limit_amount wantedBy(const lease_request_message& request)
{
    return { static_cast<double>(request.wanted.value()), request.requestsWanted };
}

limit_amount neededBy(const lease_request_message& request)
{
    return { static_cast<double>(request.needed.value()), request.requestsNeeded };
}

limit_amount usedBy(const lease_request_message& request)
{
    return { static_cast<double>(request.used.value()), request.requestsUsed };
}

limit_amount heldBy(const lease_request_message& request)
{
    return { static_cast<double>(request.held.value()), request.requestsHeld };
}

bool wantsAnswer(const lease_request_message& request)
{
    return request.wanted.value() > 0 || request.requestsWanted > 0;
}

bool isStale(const entry_lease& lease, const lease_request_message& request, const incarnation& ofEntry)
{
    if (ofEntry != lease.ofEntry)
        return ofEntry < lease.ofEntry;
    return request.sequence <= lease.sequence;
}

// Charges or credits the difference between the outstanding amount and what the entry reports as used and held.
void settle(shard_state& state, const limit_amount& difference, time_point now)
{
    const limit_amount credit = componentwiseMax(difference, {});
    const limit_amount charge = credit - difference;
    state.bucket.take(charge);
    state.bucket.give(credit, state.leased(now));
    state.granted -= difference;
}

// Fraction of the burst that has been used and not yet refilled. Leased amounts that are unused do not count.
double pressureOf(const limit_bucket& bucket, const limit_amount& leased)
{
    const limit_amount& burst = bucket.share().burst;
    const limit_amount level = bucket.level() + leased;
    const double tokens = burst.tokens > 0 ? level.tokens / burst.tokens : 1;
    const double requests = burst.requests > 0 ? level.requests / burst.requests : 1;
    return std::clamp(1 - std::min(tokens, requests), 0.0, 1.0);
}

// Part of a forecast that is granted: whole requests, with the tokens that the forecast expects for them.
limit_amount forecastGrant(const limit_bucket& bucket, const limit_amount& forecast, bool isNearLimit)
{
    const limit_amount& burst = bucket.share().burst;
    const limit_amount reserve = isNearLimit ? limit_amount() : burst * nearLimitPressure;
    const double fraction = isNearLimit ? forecastFractionNearLimit : forecastFraction;
    const limit_amount spare = componentwiseMax((bucket.level() - reserve) * fraction, {});
    if (forecast.requests < 1 || spare.requests < 1)
        return {};
    const double tokensEach = forecast.tokens / forecast.requests;
    const double byTokens = tokensEach > 0 ? spare.tokens / tokensEach : forecast.requests;
    const double requests = std::floor(std::min({ forecast.requests, spare.requests, byTokens }));
    return { std::floor(requests * tokensEach), requests };
}

}

struct limit_owner::implementation {
    daemon_id self;
    ownership_history history { historyHorizon };
    std::unordered_map<limit_shard, shard_state> shards;
    // Handovers received before this daemon learned that it is the owner.
    std::unordered_map<limit_shard, handover> handovers;

    // Time from which this daemon grants leases for the shard: takeoverWait after it became the owner, so that the
    // previous owner can learn of the change. The maximum time if it is not the owner.
    time_point readyAt(const limit_shard& shard, const derived_limits& limits) const
    {
        const std::optional<time_point> since = history.ownerSince(self, shard, limits);
        return since ? *since + limit_lease_settings::takeoverWait : time_point::max();
    }

    // Creates the state with a bucket that was empty when this daemon became ready.
    void createState(const limit_shard& shard, const derived_limits& limits, time_point ready, time_point now)
    {
        limit_bucket bucket(shareOfShard(limits, history.daemonCount()), {}, std::min(ready, now));
        bucket.refill(now, {});
        const std::uint32_t count = shardCount(limits, history.daemonCount());
        shards.emplace(shard, shard_state { bucket, count, limits, {}, {}, {} });
    }

    // False if the number of shards of the team's limits has changed. The old state does not describe a shard of
    // another size, so the new shard starts like one taken over without a handover.
    bool hasCurrentSplit(const shard_state& state) const
    {
        return state.shards == shardCount(state.limits, history.daemonCount());
    }

    // Whether there is valid state of the shard. Updates its limits, which change with the contract.
    bool hasState(const limit_shard& shard, const derived_limits& limits)
    {
        const auto position = shards.find(shard);
        if (position == shards.end())
            return false;
        position->second.limits = limits;
        if (hasCurrentSplit(position->second))
            return true;
        shards.erase(position);
        return false;
    }

    // Raises the level to what the previous owner had left minus the amount granted here since. A bucket that had seen
    // all use would hold at least that much, so the result is also correct for a late or duplicate message.
    void applyHandover(const limit_shard& shard, time_point now)
    {
        const auto found = handovers.find(shard);
        if (found == handovers.end())
            return;
        shard_state& state = shards.at(shard);
        const limit_amount missing = found->second.left - state.granted - state.bucket.level();
        state.bucket.give(componentwiseMax(missing, {}), state.leased(now));
        handovers.erase(found);
    }

    static std::optional<lease_grant_message> notReadyAnswer(
        const lease_request_message& request, duration retryAfter)
    {
        if (!wantsAnswer(request))
            return std::nullopt;
        lease_grant_message answer = answerTo(request);
        answer.verdict = lease_verdict::NotReady;
        answer.retryAfter = retryAfter;
        return answer;
    }

    static lease_grant_message answerTo(const lease_request_message& request)
    {
        lease_grant_message answer;
        answer.team = request.team;
        answer.entry = request.entry;
        answer.sequence = request.sequence;
        answer.shard = request.shard;
        return answer;
    }

    // Updates the record of the entry's lease. Returns null if the message is stale.
    static entry_lease* applyReport(
        shard_state& state, const lease_request_message& request, const incarnation& ofEntry, time_point now)
    {
        const auto [position, isNew] = state.leases.try_emplace(request.entry);
        entry_lease& lease = position->second;
        if (!isNew && isStale(lease, request, ofEntry))
            return nullptr;
        const bool continues = !isNew && !request.firstContact && lease.ofEntry == ofEntry;
        const limit_amount difference = lease.outstanding - (usedBy(request) - lease.used) - heldBy(request);
        lease.outstanding = heldBy(request);
        lease.retained = heldBy(request);
        lease.urgent = {};
        if (continues)
            settle(state, difference, now);
        else
            lease.retainedUntil = now + limit_lease_settings::longValidity;
        lease.ofEntry = ofEntry;
        lease.sequence = request.sequence;
        lease.used = usedBy(request);
        lease.seenAt = now;
        return &lease;
    }

    static lease_grant_message deny(shard_state& state, entry_lease& lease, const lease_request_message& request,
        const limit_amount& leased, time_point now)
    {
        lease.deniedAt = now;
        state.lastDenialAt = now;
        const duration interval = state.retryInterval(now);
        const duration refillTime = state.bucket.timeUntil(neededBy(request));
        lease_grant_message answer = answerTo(request);
        answer.verdict = lease_verdict::Denied;
        answer.retryAfter = std::clamp(std::max(interval, refillTime), limit_lease_settings::minDenialTime,
            limit_lease_settings::maxDenialTime);
        answer.pressure = pressureOf(state.bucket, leased);
        return answer;
    }

    static lease_grant_message grant(shard_state& state, entry_lease& lease, const lease_request_message& request,
        const limit_amount& leased, time_point now)
    {
        const limit_amount needed = neededBy(request);
        state.bucket.take(needed);
        const double pressure = pressureOf(state.bucket, leased);
        const limit_amount extra
            = forecastGrant(state.bucket, wantedBy(request) - needed, pressure >= nearLimitPressure);
        state.bucket.take(extra);
        const limit_amount granted = needed + extra;
        lease_grant_message answer = answerTo(request);
        answer.granted = token_count(static_cast<std::int64_t>(granted.tokens));
        answer.requestsGranted = granted.requests;
        answer.pressure = pressure;
        answer.validFor = pressure < nearLimitPressure ? limit_lease_settings::longValidity
                                                       : limit_lease_settings::shortValidity;
        answer.retryAfter = state.retryInterval(now);
        state.granted += granted;
        lease.outstanding += granted;
        lease.retained += extra;
        lease.retainedUntil = now + answer.validFor;
        lease.urgent = needed;
        lease.urgentUntil = now + limit_lease_settings::maxLeaseWait;
        return answer;
    }

    std::optional<lease_grant_message> answer(const lease_request_message& request, const incarnation& ofEntry,
        const derived_limits& limits, time_point now)
    {
        const limit_shard shard { request.team, request.shard };
        if (request.shard >= shardCount(limits, history.daemonCount()))
            return notReadyAnswer(request, notOwnerRetryDelay);
        if (!hasState(shard, limits)) {
            const time_point ready = readyAt(shard, limits);
            const bool isHandedOver = ready != time_point::max() && handovers.contains(shard);
            if (now < ready && !isHandedOver)
                return notReadyAnswer(request, std::min(notOwnerRetryDelay, ready - now));
            createState(shard, limits, ready, now);
            applyHandover(shard, now);
        }
        shard_state& state = shards.at(shard);
        state.bucket.setShare(shareOfShard(limits, history.daemonCount()));
        state.bucket.refill(now, state.leased(now));
        entry_lease* lease = applyReport(state, request, ofEntry, now);
        if (!lease || !wantsAnswer(request))
            return std::nullopt;
        const limit_amount leased = state.leased(now);
        if (!state.bucket.covers(neededBy(request), leased))
            return deny(state, *lease, request, leased, now);
        return grant(state, *lease, request, leased, now);
    }

    std::vector<limit_handover_message> dropForeignShards(const daemon_list_change& change, time_point now)
    {
        std::vector<limit_handover_message> messages;
        for (auto position = shards.begin(); position != shards.end();) {
            const bool isForeign = changesOwner(change, position->first, self);
            const bool isCurrentSplit = hasCurrentSplit(position->second);
            if (isForeign && isCurrentSplit)
                messages.push_back(handoverOf(position->first, position->second, now));
            position = isForeign || !isCurrentSplit ? shards.erase(position) : std::next(position);
        }
        return messages;
    }

    static limit_handover_message handoverOf(const limit_shard& shard, shard_state& state, time_point now)
    {
        state.bucket.refill(now, state.leased(now));
        const limit_amount& level = state.bucket.level();
        return { shard.team, shard.index, state.shards,
            token_count(static_cast<std::int64_t>(std::floor(level.tokens))), std::floor(level.requests) };
    }

    void acceptHandover(
        const limit_shard& shard, const derived_limits& limits, const limit_amount& left, time_point now)
    {
        const std::optional<time_point> since = history.ownerSince(self, shard, limits);
        if (since && *since + limit_lease_settings::handoverValidity < now)
            return;
        handovers[shard] = { left, now };
        if (!since)
            return;
        if (!hasState(shard, limits))
            createState(shard, limits, readyAt(shard, limits), now);
        shards.at(shard).bucket.refill(now, shards.at(shard).leased(now));
        applyHandover(shard, now);
    }

    static void dropIdleLeases(shard_state& state, time_point now)
    {
        std::erase_if(state.leases, [now](const auto& lease) {
            return lease.second.seenAt + limit_lease_settings::idleTime < now;
        });
    }

    // A full bucket without leases is equivalent to newly created state of an unused shard.
    static bool isIdle(shard_state& state, time_point now)
    {
        state.bucket.refill(now, state.leased(now));
        return state.leases.empty() && state.bucket.isFull({});
    }
};

limit_owner::limit_owner(daemon_id self)
    : m_implementation(std::make_unique<implementation>())
{
    m_implementation->self = std::move(self);
}

limit_owner::~limit_owner() = default;
limit_owner::limit_owner(limit_owner&&) noexcept = default;
limit_owner& limit_owner::operator=(limit_owner&&) noexcept = default;

std::vector<limit_handover_message> limit_owner::setDaemons(const std::vector<daemon_id>& live, time_point now)
{
    return m_implementation->dropForeignShards(m_implementation->history.setDaemons(live, now), now);
}

void limit_owner::acceptHandover(const limit_handover_message& message, const derived_limits& limits, time_point now)
{
    const limit_amount left { static_cast<double>(message.tokens.value()), message.requests };
    if (message.parts != shardCount(limits, m_implementation->history.daemonCount()))
        return;
    m_implementation->acceptHandover({ message.team, message.shard }, limits, left, now);
}

std::optional<lease_grant_message> limit_owner::answer(const lease_request_message& request,
    const incarnation& ofEntry, const derived_limits& limits, time_point now)
{
    return m_implementation->answer(request, ofEntry, limits, now);
}

void limit_owner::dropIdle(time_point now)
{
    std::erase_if(m_implementation->handovers, [now](const auto& received) {
        return received.second.at + limit_lease_settings::handoverValidity < now;
    });
    auto& shards = m_implementation->shards;
    for (auto position = shards.begin(); position != shards.end();) {
        implementation::dropIdleLeases(position->second, now);
        position = implementation::isIdle(position->second, now) ? shards.erase(position) : std::next(position);
    }
}

std::size_t limit_owner::trackedShards() const
{
    return m_implementation->shards.size();
}

}
