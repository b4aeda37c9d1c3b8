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

// How often an entry asks again a daemon that is not the owner; lists of live daemons differ for about this long.
constexpr duration notOwnerRetry = std::chrono::milliseconds(200);
// Entries that compete for a part that is used up are told to ask again in turns, so that it costs its owner about
// five answers per second. With more than fifty such entries it costs more, as a turn comes after ten seconds at most.
constexpr duration turnSpacing = std::chrono::milliseconds(200);
// So many entries may ask as soon as there can be something for them.
constexpr std::ptrdiff_t fewEntries = 5;
// A forecast gets at most this part of what is free, so that the first entry that asks does not take all.
constexpr double forecastPart = 0.25;
constexpr double forecastPartNearLimit = 0.25;
constexpr double nearLimit = 0.5;
// A bucket that was empty at takeover is full after this time, as the burst is ten seconds of the rate.
constexpr duration fillTime = std::chrono::seconds(10);
constexpr duration historyHorizon = limit_lease_settings::takeoverWait + fillTime;

// What the owner knows about the lease of one entry.
struct entry_lease {
    incarnation ofEntry;
    std::uint64_t sequence = 0;
    // The entry's running total at its last message.
    limit_amount used;
    // Granted or held at the last message, and not yet reported as used.
    limit_amount open;
    // The part of it that the entry may keep for a while, and the part that it uses at once or not at all.
    limit_amount kept;
    time_point keptUntil;
    limit_amount urgent;
    time_point urgentUntil;
    time_point seenAt;
    std::optional<time_point> deniedAt;
};

// What a predecessor had left, and when that was received.
struct handover {
    limit_amount left;
    time_point at;
};

struct shard_state {
    limit_bucket bucket;
    // Number of parts into which the team's limits were split when this state was created.
    std::uint32_t parts = 1;
    derived_limits limits;
    std::unordered_map<daemon_id, entry_lease> leases;

    std::optional<time_point> lastDenialAt;
    // What was granted since this state was created, less what came back.
    limit_amount granted;

    // Time after which an entry's turn to ask comes again: zero unless many entries were denied lately.
    duration turnTime(time_point now) const
    {
        if (!lastDenialAt || *lastDenialAt + limit_lease_settings::maxDenialTime <= now)
            return {};
        const auto competing = std::ranges::count_if(leases, [now](const auto& lease) {
            return lease.second.deniedAt && *lease.second.deniedAt + limit_lease_settings::maxDenialTime > now;
        });
        const auto crowd = std::max<std::ptrdiff_t>(0, competing - fewEntries);
        return std::min(limit_lease_settings::maxDenialTime, turnSpacing * crowd);
    }

    limit_amount lent(time_point now) const
    {
        limit_amount sum;
        for (const auto& [entry, lease] : leases) {
            if (lease.keptUntil > now)
                sum += lease.kept;
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

// Charges or credits the difference between what the lease allowed and what the entry reports as used and held.
void settle(shard_state& state, const limit_amount& difference, time_point now)
{
    const limit_amount credit = componentwiseMax(difference, {});
    const limit_amount charge = credit - difference;
    state.bucket.take(charge);
    state.bucket.give(credit, state.lent(now));
    state.granted -= difference;
}

// Share of the burst that has been used and not yet refilled. What is only lent does not count.
double pressureOf(const limit_bucket& bucket, const limit_amount& lent)
{
    const limit_amount& burst = bucket.share().burst;
    const limit_amount level = bucket.level() + lent;
    const double tokens = burst.tokens > 0 ? level.tokens / burst.tokens : 1;
    const double requests = burst.requests > 0 ? level.requests / burst.requests : 1;
    return std::clamp(1 - std::min(tokens, requests), 0.0, 1.0);
}

// Part of a forecast that is granted now: whole requests, with the tokens that the forecast expects for them.
limit_amount forecastGrant(const limit_bucket& bucket, const limit_amount& forecast, bool isNearLimit)
{
    const limit_amount& burst = bucket.share().burst;
    const limit_amount reserve = isNearLimit ? limit_amount() : burst * nearLimit;
    const double part = isNearLimit ? forecastPartNearLimit : forecastPart;
    const limit_amount spare = componentwiseMax((bucket.level() - reserve) * part, {});
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
    // What predecessors handed over before this daemon saw that it is the owner.
    std::unordered_map<limit_shard, handover> handovers;

    // Time from which on this daemon grants leases for the part: after it has become the owner and has given its
    // predecessor time to learn of that. Far in the future when it is not the owner.
    time_point readyAt(const limit_shard& shard, const derived_limits& limits) const
    {
        const std::optional<time_point> since = history.ownerSince(self, shard, limits);
        return since ? *since + limit_lease_settings::takeoverWait : time_point::max();
    }

    // Creates the state with the content of a bucket that was empty when this daemon was ready.
    void createState(const limit_shard& shard, const derived_limits& limits, time_point ready, time_point now)
    {
        limit_bucket bucket(shareOfShard(limits, history.daemonCount()), {}, std::min(ready, now));
        bucket.refill(now, {});
        const std::uint32_t parts = shardCount(limits, history.daemonCount());
        shards.emplace(shard, shard_state { bucket, parts, limits, {}, {}, {} });
    }

    // False when the team's limits are now split into another number of parts. What was counted for another part says
    // nothing about this one, which then begins like one taken over from an unknown predecessor.
    bool isStillValid(const shard_state& state) const
    {
        return state.parts == shardCount(state.limits, history.daemonCount());
    }

    // Whether there is state of the part for these limits, which may have changed with the contract.
    bool hasState(const limit_shard& shard, const derived_limits& limits)
    {
        const auto position = shards.find(shard);
        if (position == shards.end())
            return false;
        position->second.limits = limits;
        if (isStillValid(position->second))
            return true;
        shards.erase(position);
        return false;
    }

    // The bucket that has seen everything holds what the predecessor left, less what was granted here since then, or
    // more. The result is therefore right also for a message that comes late or twice.
    void applyHandover(const limit_shard& shard, time_point now)
    {
        const auto found = handovers.find(shard);
        if (found == handovers.end())
            return;
        shard_state& state = shards.at(shard);
        const limit_amount missing = found->second.left - state.granted - state.bucket.level();
        state.bucket.give(componentwiseMax(missing, {}), state.lent(now));
        handovers.erase(found);
    }

    static std::optional<lease_grant_message> answerNotReady(
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

    // Brings the record of the entry up to date. Returns nothing when the message is stale.
    static entry_lease* takeReport(
        shard_state& state, const lease_request_message& request, const incarnation& ofEntry, time_point now)
    {
        const auto [position, isNew] = state.leases.try_emplace(request.entry);
        entry_lease& lease = position->second;
        if (!isNew && isStale(lease, request, ofEntry))
            return nullptr;
        const bool continues = !isNew && !request.firstContact && lease.ofEntry == ofEntry;
        const limit_amount difference = lease.open - (usedBy(request) - lease.used) - heldBy(request);
        lease.open = heldBy(request);
        lease.kept = heldBy(request);
        lease.urgent = {};
        if (continues)
            settle(state, difference, now);
        else
            lease.keptUntil = now + limit_lease_settings::longValidity;
        lease.ofEntry = ofEntry;
        lease.sequence = request.sequence;
        lease.used = usedBy(request);
        lease.seenAt = now;
        return &lease;
    }

    static lease_grant_message deny(shard_state& state, entry_lease& lease, const lease_request_message& request,
        const limit_amount& lent, time_point now)
    {
        lease.deniedAt = now;
        state.lastDenialAt = now;
        const duration crowd = state.turnTime(now);
        const duration refill = state.bucket.timeUntil(neededBy(request));
        lease_grant_message answer = answerTo(request);
        answer.verdict = lease_verdict::Denied;
        answer.retryAfter
            = std::clamp(std::max(crowd, refill), limit_lease_settings::minDenialTime, limit_lease_settings::maxDenialTime);
        answer.pressure = pressureOf(state.bucket, lent);
        return answer;
    }

    static lease_grant_message grant(shard_state& state, entry_lease& lease, const lease_request_message& request,
        const limit_amount& lent, time_point now)
    {
        const limit_amount needed = neededBy(request);
        state.bucket.take(needed);
        const double pressure = pressureOf(state.bucket, lent);
        const limit_amount extra
            = forecastGrant(state.bucket, wantedBy(request) - needed, pressure >= nearLimit);
        state.bucket.take(extra);
        const limit_amount granted = needed + extra;
        lease_grant_message answer = answerTo(request);
        answer.granted = token_count(static_cast<std::int64_t>(granted.tokens));
        answer.requestsGranted = granted.requests;
        answer.pressure = pressure;
        answer.validFor = pressure < nearLimit ? limit_lease_settings::longValidity : limit_lease_settings::shortValidity;
        answer.retryAfter = state.turnTime(now);
        state.granted += granted;
        lease.open += granted;
        lease.kept += extra;
        lease.keptUntil = now + answer.validFor;
        lease.urgent = needed;
        lease.urgentUntil = now + limit_lease_settings::maxLeaseWait;
        return answer;
    }

    std::optional<lease_grant_message> answer(const lease_request_message& request, const incarnation& ofEntry,
        const derived_limits& limits, time_point now)
    {
        const limit_shard shard { request.team, request.shard };
        if (request.shard >= shardCount(limits, history.daemonCount()))
            return answerNotReady(request, notOwnerRetry);
        if (!hasState(shard, limits)) {
            const time_point ready = readyAt(shard, limits);
            const bool isHandedOver = ready != time_point::max() && handovers.contains(shard);
            if (now < ready && !isHandedOver)
                return answerNotReady(request, std::min(notOwnerRetry, ready - now));
            createState(shard, limits, ready, now);
            applyHandover(shard, now);
        }
        shard_state& state = shards.at(shard);
        state.bucket.setShare(shareOfShard(limits, history.daemonCount()));
        state.bucket.refill(now, state.lent(now));
        entry_lease* lease = takeReport(state, request, ofEntry, now);
        if (!lease || !wantsAnswer(request))
            return std::nullopt;
        const limit_amount lent = state.lent(now);
        if (!state.bucket.covers(neededBy(request), lent))
            return deny(state, *lease, request, lent, now);
        return grant(state, *lease, request, lent, now);
    }

    std::vector<limit_handover_message> dropForeignShards(const daemon_list_change& change, time_point now)
    {
        std::vector<limit_handover_message> messages;
        for (auto position = shards.begin(); position != shards.end();) {
            const bool isForeign = changesOwner(change, position->first, self);
            const bool isSplitAsBefore = isStillValid(position->second);
            if (isForeign && isSplitAsBefore)
                messages.push_back(handoverOf(position->first, position->second, now));
            position = isForeign || !isSplitAsBefore ? shards.erase(position) : std::next(position);
        }
        return messages;
    }

    static limit_handover_message handoverOf(const limit_shard& shard, shard_state& state, time_point now)
    {
        state.bucket.refill(now, state.lent(now));
        const limit_amount& level = state.bucket.level();
        return { shard.team, shard.index, state.parts, token_count(static_cast<std::int64_t>(std::floor(level.tokens))),
            std::floor(level.requests) };
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
        shards.at(shard).bucket.refill(now, shards.at(shard).lent(now));
        applyHandover(shard, now);
    }

    static void dropIdleLeases(shard_state& state, time_point now)
    {
        std::erase_if(state.leases, [now](const auto& lease) {
            return lease.second.seenAt + limit_lease_settings::idleTime < now;
        });
    }

    // A full bucket without leases equals the state that is created for a part not seen before.
    static bool isIdle(shard_state& state, time_point now)
    {
        state.bucket.refill(now, state.lent(now));
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
