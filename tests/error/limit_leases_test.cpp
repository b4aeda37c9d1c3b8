#include "bench/limit_fleet.h"
#include "coordination/limits/limit_bucket.h"
#include "coordination/limits/limit_share.h"
#include "state/contract.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>

namespace sardinelb {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

derived_limits limitsOf(double requestsPerSecond)
{
    contract terms;
    terms.tokensPerSecond = token_count(static_cast<std::int64_t>(requestsPerSecond * 100));
    terms.requestsPerSecond = requestsPerSecond;
    terms.answerWithin = seconds(30);
    return limitsFor(terms);
}

// Random traffic through a simulated fleet, compared with one reference bucket per team that is charged with every
// admitted request immediately.
class leased_fleet {
public:
    explicit leased_fleet(limit_fleet_settings settings)
        : random(settings.seed)
        , fleet(withLimits(std::move(settings)))
    {
    }

    // Submits requests of all teams for the given time from now, at `load` times the contracted rates. Reservations are
    // `excess` times the actual use on average.
    void offer(duration length, double load, double excess = 1)
    {
        for (const double rate : requestRates) {
            const team_id team = nameOf(rate);
            std::exponential_distribution<double> gap(rate * load);
            for (time_point when = fleet.now(); when < fleet.now() + length; when += secondsOf(gap(random)))
                fleet.at(when, [this, team, excess] { submit(team, excess); });
        }
    }

    void submit(const team_id& team, double excess)
    {
        const int entry = std::uniform_int_distribution<int>(0, entries() - 1)(random);
        if (!fleet.isLive(entry))
            return;
        const request_id id("r" + std::to_string(++lastRequest));
        const auto used = std::uniform_int_distribution<std::int64_t>(20, 180)(random);
        const auto reserved = static_cast<std::int64_t>(
            static_cast<double>(used) * std::uniform_real_distribution<double>(1, 2 * excess - 1 + 1e-9)(random));
        const request_cost cost { token_count(reserved), token_count(0) };
        ++offered;
        fleet.submit(entry, id, team, cost, [this, entry, id, team, used](bool isAdmitted) {
            ++decided;
            if (isAdmitted)
                admit(entry, id, team, used);
        });
    }

    void admit(int entry, const request_id& id, const team_id& team, std::int64_t used)
    {
        ++admitted;
        limit_bucket& bucket = bucketOf(team);
        bucket.refill(fleet.now(), {});
        bucket.take({ static_cast<double>(used), 1 });
        const limit_amount debt = limit_amount() - bucket.level();
        const limit_amount& rate = bucket.share().rate;
        double& worst = worstDebts[team];
        worst = std::max({ worst, debt.tokens / rate.tokens, debt.requests / rate.requests });
        fleet.at(fleet.now() + seconds(2), [this, entry, id, used] {
            fleet.settle(entry, id, { token_count(used), token_count(0) });
        });
    }

    limit_bucket& bucketOf(const team_id& team)
    {
        const limit_share share = wholeShare(fleetLimits(team));
        return buckets.try_emplace(team, share, share.burst, time_point()).first->second;
    }

    int entries() const { return static_cast<int>(fleet.everyone().size()); }

    static duration secondsOf(double value)
    {
        return std::chrono::ceil<duration>(std::chrono::duration<double>(value));
    }

    static team_id nameOf(double rate) { return team_id("team-" + std::to_string(static_cast<int>(rate))); }
    static derived_limits fleetLimits(const team_id& team) { return limitsOf(std::stod(team.value().substr(5))); }

    static limit_fleet_settings withLimits(limit_fleet_settings settings)
    {
        settings.limitsOf = fleetLimits;
        return settings;
    }

    // The limits of the largest team are split into several shards.
    static constexpr double requestRates[] = { 1, 5, 20, 100 };

    std::mt19937_64 random;
    limit_fleet fleet;
    std::map<team_id, limit_bucket> buckets;
    int lastRequest = 0;
    int offered = 0;
    int decided = 0;
    int admitted = 0;
    // Largest debt of each team's reference bucket, in seconds at the team's rate.
    std::map<team_id, double> worstDebts;
};

double worstDebt(const leased_fleet& load)
{
    double worst = 0;
    for (const auto& [team, debt] : load.worstDebts)
        worst = std::max(worst, debt);
    return worst;
}

limit_fleet_settings settingsFor(int entries, std::uint64_t seed)
{
    limit_fleet_settings settings;
    settings.entries = entries;
    settings.seed = seed;
    // Lists of live daemons differ for less than takeoverWait.
    settings.shortestListLag = milliseconds(100);
    settings.longestListLag = milliseconds(500);
    return settings;
}

// Fallback credit of all entries together when their owner is unreachable, in seconds at the team's rate.
constexpr double fallbackCreditSeconds = 0.5;

// Time for which entries use their fallback shares while the previous owner may still grant: lists differ for less than
// 400 ms, and the new owner waits 500 ms.
constexpr double changeSeconds = 0.9;

// Kills and restarts random entries, and counts for each team how often its limits change owner.
class crash_schedule {
public:
    explicit crash_schedule(leased_fleet& load)
        : m_load(load)
        , m_live(load.fleet.everyone())
    {
    }

    void kill()
    {
        const int victim = std::uniform_int_distribution<int>(0, m_load.entries() - 1)(m_load.random);
        if (!m_load.fleet.isLive(victim))
            return;
        m_load.fleet.kill(victim);
        std::vector<daemon_id> rest = m_live;
        std::erase(rest, limit_fleet::nameOf(victim));
        change(rest);
        m_load.fleet.at(m_load.fleet.now() + milliseconds(2500), [this, victim] { restart(victim); });
    }

    // Number of ownership changes, where the change of one shard counts as its fraction of the team's limits.
    double changes(const team_id& team) const
    {
        const auto position = m_changes.find(team);
        return position == m_changes.end() ? 0 : position->second;
    }

private:
    void restart(int entry)
    {
        m_load.fleet.restart(entry);
        std::vector<daemon_id> more = m_live;
        more.push_back(limit_fleet::nameOf(entry));
        change(more);
    }

    void change(const std::vector<daemon_id>& live)
    {
        for (const double rate : leased_fleet::requestRates) {
            const team_id team = leased_fleet::nameOf(rate);
            const std::uint32_t before = shardCount(limitsOf(rate), m_live.size());
            const std::uint32_t after = shardCount(limitsOf(rate), live.size());
            double moved = 0;
            for (std::uint32_t index = 0; index < before; ++index)
                moved += ownerOf(limit_shard { team, index }, m_live) != ownerOf(limit_shard { team, index }, live);
            m_changes[team] += before == after ? moved / before : 1;
        }
        m_live = live;
    }

    leased_fleet& m_load;
    std::vector<daemon_id> m_live;
    std::map<team_id, double> m_changes;
};

}

// Guards against granting the same amount twice for any order of requests, grants and reports.
RC_GTEST_PROP(LimitLeases, WithoutFaultsNeverExceedOneBucket, (std::uint64_t seed))
{
    const int entries = *rc::gen::element(1, 2, 3, 8, 40);
    leased_fleet load(settingsFor(entries, seed));
    load.fleet.runUntil(time_point(seconds(12)));
    load.offer(seconds(15), *rc::gen::element(0.5, 1.0, 4.0));
    load.fleet.runUntil(time_point(seconds(30)));
    RC_ASSERT(worstDebt(load) <= 1e-6);
    RC_ASSERT(load.decided == load.offered);
}

// Guards against refusals within the contract: at half of the contracted rate, every request is admitted.
TEST(LimitLeases, WithinTheContractAreNotRefused)
{
    leased_fleet load(settingsFor(8, 1));
    load.fleet.runUntil(time_point(seconds(12)));
    load.offer(seconds(60), 0.5);
    load.fleet.runUntil(time_point(seconds(80)));
    EXPECT_EQ(load.admitted, load.offered);
}

// Guards against a new owner that grants again what a crashed owner has leased out, and against late reports that
// return tokens twice. Messages are lost, too; an entry that loses three in a row uses its fallback share.
RC_GTEST_PROP(LimitLeases, WithCrashingOwnersNeverExceedOneBucketAndTheFallback, (std::uint64_t seed))
{
    // With 16 entries, every crash and every restart changes the number of shards of the largest team's limits.
    const int entries = *rc::gen::element(2, 3, 8, 16, 20);
    limit_fleet_settings settings = settingsFor(entries, seed);
    settings.loss = *rc::gen::element(0.0, 0.02, 0.1);
    leased_fleet load(settings);
    load.fleet.runUntil(time_point(seconds(12)));
    load.offer(seconds(40), 3);
    crash_schedule plan(load);
    constexpr int crashes = 6;
    for (int crash = 0; crash < crashes; ++crash)
        load.fleet.at(time_point(seconds(15 + 5 * crash)), [&plan] { plan.kill(); });
    load.fleet.runUntil(time_point(seconds(60)));
    // Each incarnation of an entry may use its fallback credit once. With message loss, entries use their fallback
    // shares in addition to the owner's bucket while three messages in a row are lost.
    const double credit = fallbackCreditSeconds * (1 + static_cast<double>(crashes) / entries);
    const double lossSeconds = settings.loss > 0 ? 40 * 0.05 : 0;
    for (const auto& [team, debt] : load.worstDebts)
        RC_ASSERT(debt <= credit + lossSeconds + changeSeconds * plan.changes(team));
}

// Guards against late refunds that admit more than the refunded tokens.
RC_GTEST_PROP(LimitLeases, WithReservationsAboveUseExceedOneBucketByRefundsOnly, (std::uint64_t seed))
{
    leased_fleet load(settingsFor(5, seed));
    load.fleet.runUntil(time_point(seconds(12)));
    load.offer(seconds(30), 2, 1.5);
    load.fleet.runUntil(time_point(seconds(50)));
    // Use is below the reservation, so the bucket is exceeded only by refunds that are reported after it was full: here
    // the excess reservations of two seconds of running requests, at most half of that.
    RC_ASSERT(worstDebt(load) <= 1);
}

// Guards against two owners that both grant a complete contract. Half of the entries have a list without the owner of a
// team and ask the next owner, while the other entries and the owner itself still have the full list.
RC_GTEST_PROP(LimitLeases, WithTwoOwnersExceedOneBucketByTheOverlapOnly, (std::uint64_t seed))
{
    constexpr int entries = 8;
    const duration overlap = milliseconds(*rc::gen::inRange(0, 6000));
    leased_fleet load(settingsFor(entries, seed));
    load.fleet.runUntil(time_point(seconds(12)));
    load.offer(seconds(25), 4);
    load.fleet.runUntil(time_point(seconds(20)));
    const std::vector<daemon_id>& all = load.fleet.everyone();
    const daemon_id first = ownerOf(leased_fleet::nameOf(5), all);
    std::vector<daemon_id> rest = all;
    std::erase(rest, first);
    std::vector<int> misled;
    for (int entry = 0; entry < entries; ++entry) {
        if (limit_fleet::nameOf(entry) != first && entry % 2 == 0) {
            load.fleet.setList(entry, rest);
            misled.push_back(entry);
        }
    }
    load.fleet.at(load.fleet.now() + overlap, [&load, &misled, &all] {
        for (const int entry : misled)
            load.fleet.setList(entry, all);
    });
    load.fleet.runUntil(time_point(seconds(50)));
    const double overlapSeconds = std::chrono::duration<double>(overlap).count();
    // Entries whose new owner does not know of its role yet use their fallback shares.
    const double bound = overlapSeconds + fallbackCreditSeconds;
    RC_ASSERT(worstDebt(load) <= bound);
}

// Guards against unbounded excess with two permanent owners: a partitioned fleet admits at most two contracts.
TEST(LimitLeases, WithTwoOwnersForLongNeverExceedTwoBuckets)
{
    constexpr int entries = 8;
    leased_fleet load(settingsFor(entries, 7));
    load.fleet.runUntil(time_point(seconds(12)));
    std::vector<daemon_id> halves[2];
    for (int entry = 0; entry < entries; ++entry)
        halves[entry % 2].push_back(limit_fleet::nameOf(entry));
    for (int entry = 0; entry < entries; ++entry)
        load.fleet.setList(entry, halves[entry % 2]);
    load.offer(seconds(60), 5);
    load.fleet.runUntil(time_point(seconds(80)));
    for (auto& [team, bucket] : load.buckets) {
        bucket.refill(load.fleet.now(), {});
        const limit_amount used = bucket.share().burst + bucket.share().rate * 72.0 - bucket.level();
        const limit_amount twice = (bucket.share().burst + bucket.share().rate * 72.0) * 2.0;
        EXPECT_LE(used.tokens, twice.tokens) << team.value();
        EXPECT_LE(used.requests, twice.requests) << team.value();
    }
}

// Guards against entries that exceed their fallback shares: each entry that is disconnected from a running owner may
// use its equal share of the rate in addition to the owner's bucket, and no more.
TEST(LimitLeases, OfAnEntryCutOffExceedOneBucketByItsShareOnly)
{
    constexpr int entries = 4;
    constexpr double cutSeconds = 20;
    leased_fleet load(settingsFor(entries, 3));
    load.fleet.runUntil(time_point(seconds(12)));
    load.offer(seconds(40), 4);
    for (int other = 1; other < entries; ++other) {
        load.fleet.at(time_point(seconds(20)), [&load, other] { load.fleet.cut(0, other, true); });
        load.fleet.at(time_point(seconds(40)), [&load, other] { load.fleet.cut(0, other, false); });
    }
    load.fleet.runUntil(time_point(seconds(60)));
    for (const auto& [team, debt] : load.worstDebts) {
        const bool isOwnerCutOff = ownerOf(team, load.fleet.everyone()) == limit_fleet::nameOf(0);
        const int cutOff = isOwnerCutOff ? entries - 1 : 1;
        EXPECT_LE(debt, (cutSeconds + fallbackCreditSeconds) * cutOff / entries) << team.value();
        EXPECT_GT(debt, 0) << "the test no longer reaches the fallback of " << team.value();
    }
}

// Guards against graceful restarts that lose the burst: the new owner continues with the level that is handed over.
TEST(LimitLeases, AfterAHandoverKeepTheBurst)
{
    limit_owner before(daemon_id("a"));
    limit_owner after(daemon_id("b"));
    const derived_limits limits = limitsOf(10);
    const std::vector<daemon_id> onlyA { daemon_id("a") };
    const std::vector<daemon_id> onlyB { daemon_id("b") };
    (void)before.setDaemons(onlyA, time_point());
    (void)after.setDaemons(onlyA, time_point());
    lease_request_message request;
    request.team = team_id("t");
    request.entry = daemon_id("e");
    request.sequence = 1;
    request.firstContact = true;
    request.wanted = request.needed = token_count(1000);
    request.requestsWanted = request.requestsNeeded = 10;
    time_point now { seconds(60) };
    ASSERT_EQ(before.answer(request, incarnation(1), limits, now)->verdict, lease_verdict::Granted);
    const std::vector<limit_handover_message> left = before.setDaemons(onlyB, now);
    ASSERT_EQ(left.size(), 1U);
    EXPECT_EQ(left.front().tokens, token_count(9000));
    EXPECT_EQ(before.answer(request, incarnation(2), limits, now)->verdict, lease_verdict::NotReady);
    // The message arrives before the new owner knows of its role, and again later.
    after.acceptHandover(left.front(), limits, now);
    (void)after.setDaemons(onlyB, now);
    request.wanted = request.needed = token_count(9000);
    EXPECT_EQ(after.answer(request, incarnation(1), limits, now)->verdict, lease_verdict::Granted);
    after.acceptHandover(left.front(), limits, now);
    request.sequence = 2;
    request.wanted = request.needed = token_count(10);
    EXPECT_EQ(after.answer(request, incarnation(1), limits, now)->verdict, lease_verdict::Denied);
}

// Guards against processing a message that arrives after a later one.
TEST(LimitLeases, WithAReorderedReportIgnoreIt)
{
    limit_owner owner(daemon_id("a"));
    const derived_limits limits = limitsOf(10);
    (void)owner.setDaemons({ daemon_id("a") }, time_point());
    const time_point now { seconds(60) };
    lease_request_message first;
    first.team = team_id("t");
    first.entry = daemon_id("e");
    first.sequence = 1;
    first.firstContact = true;
    first.wanted = first.needed = token_count(5000);
    ASSERT_EQ(owner.answer(first, incarnation(1), limits, now)->verdict, lease_verdict::Granted);
    lease_request_message overtaken = first;
    overtaken.sequence = 2;
    overtaken.firstContact = false;
    overtaken.wanted = overtaken.needed = {};
    lease_request_message third = first;
    third.sequence = 3;
    third.firstContact = false;
    third.used = token_count(5000);
    ASSERT_EQ(owner.answer(third, incarnation(1), limits, now)->verdict, lease_verdict::Granted);
    EXPECT_FALSE(owner.answer(overtaken, incarnation(1), limits, now).has_value());
    lease_request_message other = first;
    other.entry = daemon_id("f");
    other.wanted = other.needed = token_count(1);
    EXPECT_EQ(owner.answer(other, incarnation(1), limits, now)->verdict, lease_verdict::Denied);
}

// Guards against a shard that keeps its level across a change of the number of shards, so that the amount is granted
// twice.
TEST(LimitLeases, OfAShardBeginEmptyWhenTheNumberOfShardsChanges)
{
    std::vector<daemon_id> sixteen;
    sixteen.reserve(16);
    for (int entry = 0; entry < 16; ++entry)
        sixteen.push_back(limit_fleet::nameOf(entry));
    const derived_limits limits = limitsOf(100);
    ASSERT_EQ(shardCount(limits, 16), 2U);
    ASSERT_EQ(shardCount(limits, 15), 1U);
    const daemon_id self = ownerOf(limit_shard { team_id("t"), 1 }, sixteen);
    std::vector<daemon_id> fifteen = sixteen;
    std::erase(fifteen, self == sixteen.front() ? sixteen.back() : sixteen.front());
    limit_owner owner(self);
    (void)owner.setDaemons(sixteen, time_point());
    lease_request_message request;
    request.team = team_id("t");
    request.entry = daemon_id("e");
    request.shard = 1;
    request.sequence = 1;
    request.firstContact = true;
    request.wanted = request.needed = token_count(10);
    EXPECT_EQ(owner.answer(request, incarnation(1), limits, time_point(seconds(60)))->verdict, lease_verdict::Granted);
    (void)owner.setDaemons(fifteen, time_point(seconds(61)));
    request.sequence = 2;
    EXPECT_EQ(
        owner.answer(request, incarnation(1), limits, time_point(seconds(62)))->verdict, lease_verdict::NotReady);
    (void)owner.setDaemons(sixteen, time_point(seconds(70)));
    // One second has passed since the change. takeoverWait is half of it, and in the other half the shard's bucket of 50,000
    // tokens, which is ten seconds of its rate, has received 2,500.
    request.sequence = 3;
    request.wanted = request.needed = token_count(2600);
    EXPECT_EQ(owner.answer(request, incarnation(1), limits, time_point(seconds(71)))->verdict, lease_verdict::Denied);
    request.sequence = 4;
    request.wanted = request.needed = token_count(2400);
    EXPECT_EQ(owner.answer(request, incarnation(1), limits, time_point(seconds(71)))->verdict, lease_verdict::Granted);
}

// Guards against a duplicate message that returns tokens a second time.
TEST(LimitLeases, WithARepeatedReportCreditOnce)
{
    limit_owner owner(daemon_id("a"));
    const derived_limits limits = limitsOf(10);
    (void)owner.setDaemons({ daemon_id("a") }, time_point());
    const time_point now { seconds(60) };
    lease_request_message request;
    request.team = team_id("t");
    request.entry = daemon_id("e");
    request.sequence = 1;
    request.firstContact = true;
    request.wanted = request.needed = token_count(10000);
    request.requestsWanted = request.requestsNeeded = 1;
    ASSERT_EQ(owner.answer(request, incarnation(1), limits, now)->verdict, lease_verdict::Granted);
    lease_request_message report = request;
    report.sequence = 2;
    report.firstContact = false;
    report.wanted = report.needed = {};
    report.requestsWanted = report.requestsNeeded = 0;
    report.used = token_count(6000);
    for (int copy = 0; copy < 5; ++copy)
        EXPECT_FALSE(owner.answer(report, incarnation(1), limits, now).has_value());
    request.sequence = 3;
    request.firstContact = false;
    request.used = token_count(6000);
    request.wanted = request.needed = token_count(4001);
    EXPECT_EQ(owner.answer(request, incarnation(1), limits, now)->verdict, lease_verdict::Denied);
    request.sequence = 4;
    request.wanted = request.needed = token_count(4000);
    EXPECT_EQ(owner.answer(request, incarnation(1), limits, now)->verdict, lease_verdict::Granted);
}

}
