#include "coordination/limits/token_account.h"

#include "coordination/leases/limit_lease_settings.h"
#include "coordination/leases/shard_lease.h"
#include "coordination/limits/limit_bucket.h"
#include "coordination/limits/limit_ownership.h"
#include "coordination/limits/limit_shard.h"
#include "coordination/limits/limit_share.h"
#include "coordination/membership/daemon_list_change.h"
#include "coordination/messages/lease_grant_message.h"
#include "coordination/messages/lease_request_message.h"
#include "state/derived_limits.h"
#include "state/name_digest.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace sardinelb {

namespace {

// Maximum number of shards that one request tries, and number of denied shards at which an entry refuses requests
// without trying another shard. Three exhausted shards out of many are rare while the team keeps to its contract.
constexpr std::uint32_t maxShardsTried = 3;
// An entry returns to its first shard of a team's limits after this time, in which an exhausted shard refills.
constexpr duration shardOffsetTime = std::chrono::seconds(10);
// Time allowed for the settlement of a request that ended at its deadline.
constexpr duration settlementGracePeriod = std::chrono::seconds(10);
// A waiting request that was not released after its caller left is removed this long after its wait has ended.
constexpr duration waitingGracePeriod = std::chrono::seconds(1);
// Interval between removals of the state of idle teams.
constexpr duration idleCleanupInterval = std::chrono::seconds(5);
// Retry time for refused callers if no better estimate is known.
constexpr duration defaultRetryAfter = std::chrono::seconds(1);

struct owned_lease {
    daemon_id owner;
    shard_lease lease;
};

struct team_state {
    derived_limits limits;
    std::uint32_t inFlight = 0;
    std::map<std::uint32_t, owned_lease> shards;
    // Offset of the shard that this entry tries first from its usual one, and since when the offset is set.
    std::uint32_t shardOffset = 0;
    time_point shardOffsetSince;
    // Bucket with the complete contract, used while this entry knows of no other entry.
    std::optional<limit_bucket> standaloneBucket;
    time_point retryAt;
};

struct reservation {
    limit_shard shard;
    limit_amount amount;
    time_point expiresAt;
};

struct waiting_request {
    limit_shard shard;
    std::uint32_t shardsTried = 1;
    time_point until;
};

limit_amount amountOf(const request_cost& cost)
{
    return { static_cast<double>(cost.promptTokens.value() + cost.completionTokens.value()), 1 };
}

coordination_error overContract(const team_id& team, const char* limit)
{
    return { coordination_errc::OverContract, team.value(), limit };
}

}

struct token_account::implementation {
    daemon_id self;
    std::vector<daemon_id> live;
    // Index of this daemon among the live ones in order of id.
    std::size_t rank = 0;
    std::unordered_map<team_id, team_state> teams;
    std::unordered_map<request_id, reservation> reservations;
    std::set<std::pair<time_point, request_id>> expiries;
    std::map<request_id, waiting_request> waiting;
    std::uint64_t lastSequence = 0;
    time_point nextBatchAt;
    time_point nextIdleCleanupAt;

    bool isStandalone() const { return live.empty(); }

    shard_lease& leaseOf(team_state& team, const limit_shard& shard) const
    {
        const auto [position, isNew] = team.shards.try_emplace(shard.index);
        if (isNew)
            position->second.owner = ownerOf(shard, live);
        return position->second.lease;
    }

    limit_share fallbackShare(const team_state& team) const
    {
        const limit_share share = shareOfShard(team.limits, live.size());
        const double fraction = 1.0 / static_cast<double>(std::max<std::size_t>(1, live.size()));
        return { share.rate * fraction, share.burst * fraction };
    }

    void expireReservations(time_point now)
    {
        while (!expiries.empty() && expiries.begin()->first <= now)
            endReservation(expiries.begin()->second);
    }

    std::optional<reservation> endReservation(const request_id& request)
    {
        const auto position = reservations.find(request);
        if (position == reservations.end())
            return std::nullopt;
        reservation ended = std::move(position->second);
        reservations.erase(position);
        expiries.erase({ ended.expiresAt, request });
        --teams.at(ended.shard.team).inFlight;
        return ended;
    }

    void admit(const request_id& request, const limit_shard& shard, const limit_amount& amount, time_point now)
    {
        team_state& team = teams.at(shard.team);
        const time_point expiresAt = now + team.limits.answerWithin + settlementGracePeriod;
        ++team.inFlight;
        reservations.insert_or_assign(request, reservation { shard, amount, expiresAt });
        expiries.emplace(expiresAt, request);
    }

    void correct(const reservation& ended, const limit_amount& more, time_point now)
    {
        team_state& team = teams.at(ended.shard.team);
        if (!team.standaloneBucket) {
            leaseOf(team, ended.shard).correct(more, now);
            return;
        }
        const limit_amount credit = componentwiseMax(limit_amount() - more, {});
        team.standaloneBucket->take(more + credit);
        team.standaloneBucket->give(credit, {});
    }

    coordination_result<void> reserveStandalone(const request_id& request, const team_id& id, team_state& team,
        const limit_amount& amount, time_point now)
    {
        const limit_share share = wholeShare(team.limits);
        if (!team.standaloneBucket)
            team.standaloneBucket.emplace(share, share.burst, now);
        team.standaloneBucket->setShare(share);
        team.standaloneBucket->refill(now, {});
        if (!team.standaloneBucket->covers(amount, {})) {
            team.retryAt = now + team.standaloneBucket->timeUntil(amount);
            return overContract(id, "tokens or requests per second");
        }
        team.standaloneBucket->take(amount);
        admit(request, { id, 0 }, amount, now);
        return boost::outcome_v2::success();
    }

    // Shard that a request tries first. Entries are spread evenly over the shards; an entry whose shard is exhausted
    // moves on to the next one, so that a few entries can use the complete contract, too.
    std::uint32_t firstShard(const team_id& id, team_state& team, const limit_amount& amount, time_point now) const
    {
        const std::uint32_t count = shardCount(team.limits, live.size());
        if (count == 1)
            return 0;
        for (const auto& [index, owned] : team.shards) {
            if (index < count && owned.lease.holds(amount, now))
                return index;
        }
        if (team.shardOffsetSince + shardOffsetTime <= now)
            team.shardOffset = 0;
        return static_cast<std::uint32_t>((nameDigest(id.value()) + rank + team.shardOffset) % count);
    }

    static std::uint32_t deniedShards(const team_state& team, time_point now)
    {
        return static_cast<std::uint32_t>(std::ranges::count_if(
            team.shards, [now](const auto& shard) { return shard.second.lease.deniedUntil() > now; }));
    }

    // Moves the request on to the next shard. Returns false if it may not try another one.
    bool tryNextShard(waiting_request& attempt, team_state& team, time_point now) const
    {
        const std::uint32_t count = shardCount(team.limits, live.size());
        if (attempt.shardsTried >= std::min(maxShardsTried, count) || deniedShards(team, now) >= maxShardsTried)
            return false;
        if (team.shardOffset == 0)
            team.shardOffsetSince = now;
        ++team.shardOffset;
        ++attempt.shardsTried;
        attempt.shard.index = (attempt.shard.index + 1) % count;
        return true;
    }

    coordination_result<void> reserveLeased(const request_id& request, const team_id& id, team_state& team,
        const limit_amount& amount, time_point now)
    {
        const auto found = waiting.find(request);
        const bool isNew = found == waiting.end();
        waiting_request attempt = isNew ? waiting_request { {}, 1, now + limit_lease_settings::maxLeaseWait }
                                        : found->second;
        if (isNew) {
            attempt.shard = { id, firstShard(id, team, amount, now) };
            leaseOf(team, attempt.shard).recordDemand(amount, now);
        }
        const limit_share fallback = fallbackShare(team);
        time_point retryAt = now + limit_lease_settings::maxDenialTime;
        do {
            shard_lease& lease = leaseOf(team, attempt.shard);
            const spend_result result = lease.spend(request, amount, fallback, now < attempt.until, now);
            if (result == spend_result::Wait) {
                waiting.insert_or_assign(request, attempt);
                return overContract(id, "lease pending");
            }
            if (result == spend_result::Spent) {
                waiting.erase(request);
                admit(request, attempt.shard, amount, now);
                return boost::outcome_v2::success();
            }
            retryAt = std::min(retryAt, std::max(lease.deniedUntil(), now + limit_lease_settings::minDenialTime));
        } while (tryNextShard(attempt, team, now));
        waiting.erase(request);
        team.retryAt = retryAt;
        return overContract(id, "tokens or requests per second");
    }

    void stopWaiting(const request_id& request)
    {
        const auto position = waiting.find(request);
        if (position == waiting.end())
            return;
        const limit_shard& shard = position->second.shard;
        leaseOf(teams.at(shard.team), shard).stopWaiting(request);
        waiting.erase(position);
    }

    void removeAbandoned(time_point now)
    {
        std::vector<request_id> abandoned;
        for (const auto& [request, attempt] : waiting) {
            if (attempt.until + waitingGracePeriod < now)
                abandoned.push_back(request);
        }
        for (const request_id& request : abandoned)
            stopWaiting(request);
    }

    void addTo(std::vector<lease_request_message>& messages, const limit_shard& shard,
        std::optional<lease_request_message> message) const
    {
        if (!message)
            return;
        message->team = shard.team;
        message->shard = shard.index;
        message->entry = self;
        messages.push_back(std::move(*message));
    }

    void addUrgent(std::vector<lease_request_message>& messages, time_point now)
    {
        for (const auto& [request, attempt] : waiting) {
            shard_lease& lease = leaseOf(teams.at(attempt.shard.team), attempt.shard);
            addTo(messages, attempt.shard, lease.urgentRequest(lastSequence + 1, now));
            lastSequence += 1;
        }
    }

    void addPeriodic(std::vector<lease_request_message>& messages, time_point now)
    {
        for (auto& [id, team] : teams) {
            for (auto& [index, owned] : team.shards) {
                if (!owned.lease.isActive(now))
                    continue;
                const limit_share share = shareOfShard(team.limits, live.size());
                addTo(messages, { id, index }, owned.lease.periodicRequest(++lastSequence, share, now));
            }
        }
    }

    void dropIdle(time_point now)
    {
        for (auto& [id, team] : teams)
            std::erase_if(team.shards, [now](const auto& shard) { return shard.second.lease.isIdle(now); });
        std::erase_if(teams, [](const auto& entry) {
            const team_state& team = entry.second;
            return team.shards.empty() && team.inFlight == 0 && !team.standaloneBucket;
        });
    }
};

token_account::token_account(daemon_id self)
    : m_implementation(std::make_unique<implementation>())
{
    m_implementation->self = std::move(self);
}

token_account::~token_account() = default;
token_account::token_account(token_account&&) noexcept = default;
token_account& token_account::operator=(token_account&&) noexcept = default;

void token_account::setDaemons(const std::vector<daemon_id>& live, time_point now)
{
    implementation& self = *m_implementation;
    if (live.empty())
        return;
    const daemon_list_change change = changeBetween(std::exchange(self.live, live), live);
    self.rank = static_cast<std::size_t>(
        std::ranges::count_if(live, [&self](const daemon_id& daemon) { return daemon < self.self; }));
    for (auto& [id, team] : self.teams) {
        team.standaloneBucket.reset();
        for (auto& [index, owned] : team.shards) {
            const limit_shard shard { id, index };
            if (!changesOwner(change, shard, owned.owner))
                continue;
            owned.owner = ownerOf(shard, live);
            owned.lease.onOwnerChanged(now);
        }
    }
}

coordination_result<void> token_account::reserve(const request_id& request, const team_id& id,
    const derived_limits& limits, const request_cost& cost, time_point now)
{
    implementation& self = *m_implementation;
    self.expireReservations(now);
    if (self.reservations.contains(request))
        return boost::outcome_v2::success();
    team_state& team = self.teams[id];
    team.limits = limits;
    if (team.inFlight >= limits.inFlight) {
        self.stopWaiting(request);
        team.retryAt = now + defaultRetryAfter;
        return overContract(id, "requests in flight");
    }
    if (self.isStandalone())
        return self.reserveStandalone(request, id, team, amountOf(cost), now);
    return self.reserveLeased(request, id, team, amountOf(cost), now);
}

std::optional<time_point> token_account::waitDeadline(const request_id& request) const
{
    const auto position = m_implementation->waiting.find(request);
    return position == m_implementation->waiting.end() ? std::nullopt : std::optional(position->second.until);
}

void token_account::settle(const request_id& request, const token_usage& usage, time_point now)
{
    const std::optional<reservation> ended = m_implementation->endReservation(request);
    if (!ended)
        return;
    const auto used = static_cast<double>(usage.promptTokens.value() + usage.completionTokens.value());
    m_implementation->correct(*ended, { used - ended->amount.tokens, 0 }, now);
}

void token_account::release(const request_id& request, time_point now)
{
    m_implementation->stopWaiting(request);
    const std::optional<reservation> ended = m_implementation->endReservation(request);
    if (ended)
        m_implementation->correct(*ended, limit_amount() - ended->amount, now);
}

std::vector<lease_request_message> token_account::takeLeaseRequests(time_point now)
{
    implementation& self = *m_implementation;
    std::vector<lease_request_message> messages;
    self.addUrgent(messages, now);
    if (now < self.nextBatchAt)
        return messages;
    self.nextBatchAt = now + limit_lease_settings::batchPeriod;
    self.expireReservations(now);
    self.removeAbandoned(now);
    self.addPeriodic(messages, now);
    if (self.nextIdleCleanupAt <= now) {
        self.dropIdle(now);
        self.nextIdleCleanupAt = now + idleCleanupInterval;
    }
    return messages;
}

void token_account::granted(const lease_grant_message& grant, time_point now)
{
    const auto team = m_implementation->teams.find(grant.team);
    if (team == m_implementation->teams.end())
        return;
    const auto shard = team->second.shards.find(grant.shard);
    if (shard != team->second.shards.end())
        shard->second.lease.granted(grant, now);
}

std::optional<duration> token_account::retryAfter(const team_id& id, time_point now) const
{
    const auto position = m_implementation->teams.find(id);
    if (position == m_implementation->teams.end() || position->second.retryAt <= now)
        return std::nullopt;
    return position->second.retryAt - now;
}

}
