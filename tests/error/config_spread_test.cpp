#include "coordination/spread/config_spread.h"

#include "coordination/spread/poller_selection.h"
#include "coordination/spread/snapshot_receiver.h"
#include "state/apply_change.h"
#include "state/entity.h"
#include "state/snapshot_json.h"

#include <gtest/gtest.h>

namespace sardinelb {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

configuration_change change(std::uint64_t version, std::size_t padding = 0)
{
    const std::string name = "pool-" + std::to_string(version) + std::string(padding, 'x');
    return { config_version(version), "kim", "t" + std::to_string(version),
        { { entity_kind::Pool, name, R"({"kind":"model","wanted_runners":1})", config_version() } } };
}

configuration configurationAt(std::uint64_t version, std::size_t padding = 0)
{
    configuration result;
    for (std::uint64_t next = 1; next <= version; ++next)
        EXPECT_TRUE(applyCommittedChange(result, change(next, padding)));
    return result;
}

const state_error tableDown { state_errc::Unavailable, "table", "down" };

template <typename Action>
std::vector<Action> actionsOfType(const spread_actions& actions)
{
    std::vector<Action> found;
    for (const spread_action& action : actions) {
        if (const auto* wanted = std::get_if<Action>(&action))
            found.push_back(*wanted);
    }
    return found;
}

changes_message versionAnswer(std::uint64_t nonce, std::uint64_t version)
{
    return { nonce, config_version(version), {}, {} };
}

// Drives one daemon of a zone with the entries e1 to e3.
class config_spread_test : public testing::Test {
protected:
    config_spread_test() { make({}); }

    void make(config_spread_settings settings, const std::string& self = "e1")
    {
        settings.self = daemon_id(self);
        settings.zone = availability_zone_id("z");
        spread.emplace(settings, 5);
        spread->setZoneEntries({ daemon_id("e1"), daemon_id("e2"), daemon_id("e3") });
        spread->setPeers({ { daemon_id("e2"), settings.zone }, { daemon_id("e3"), settings.zone } });
    }

    void startWithTable(std::uint64_t version)
    {
        EXPECT_EQ(actionsOfType<load_table>(spread->start(now)).size(), 1U);
        spread->onTableLoadResult(configurationAt(version), now);
        ASSERT_TRUE(spread->isReady());
    }

    // Starts while the table is down; returns the nonce of the first round of version queries.
    std::uint64_t startWithoutTable()
    {
        spread->start(now);
        spread->onTableLoadResult(tableDown, now);
        return nextRound();
    }

    // Advances the time until the next round of version queries; returns its nonce.
    std::uint64_t nextRound()
    {
        constexpr int maxTicks = 100;
        for (int ticks = 0; ticks < maxTicks; ++ticks) {
            now += milliseconds(100);
            for (const send_changes_request& sent : actionsOfType<send_changes_request>(spread->tick(now))) {
                const bool isVersionQuery = sent.message.after == changes_request_message::versionOnly;
                if (isVersionQuery && sent.message.nonce != roundNonce)
                    return roundNonce = sent.message.nonce;
            }
        }
        ADD_FAILURE() << "no round of questions within 10 s";
        return 0;
    }

    // Only for daemons without exchanges. Delivers frames of e2 with the version and advances the time until the daemon
    // fetches.
    changes_request_message fetchAfterFrame(std::uint64_t version)
    {
        constexpr int maxTicks = 100;
        for (int ticks = 0; ticks < maxTicks; ++ticks) {
            now += milliseconds(100);
            spread->onFrameReceived(daemon_id("e2"), config_version(version), now);
            const auto sent = actionsOfType<send_changes_request>(spread->tick(now));
            if (!sent.empty())
                return sent.front().message;
        }
        ADD_FAILURE() << "no fetch within 10 s";
        return {};
    }

    spread_actions receive(const std::string& from, const changes_message& message)
    {
        return spread->onChangesReceived(daemon_id(from), message, now);
    }

    time_point now { seconds(100) };
    std::uint64_t roundNonce = 0;
    std::optional<config_spread> spread;
};

}

// Guards against a daemon that serves without a change that was accepted in its zone.
TEST_F(config_spread_test, startWithoutTableNeedsAMajorityAndItsHighestVersion)
{
    const std::uint64_t nonce = startWithoutTable();
    receive("e3", versionAnswer(nonce, 0));
    EXPECT_FALSE(spread->isReady());
    receive("e3", versionAnswer(nonce, 0));
    EXPECT_FALSE(spread->isReady()) << "one entry was counted twice";
    const auto fetches = actionsOfType<send_changes_request>(receive("e2", versionAnswer(nonce, 2)));
    EXPECT_FALSE(spread->isReady());
    ASSERT_EQ(fetches.size(), 1U);
    EXPECT_EQ(fetches[0].to, daemon_id("e2"));
    receive("e2", { fetches[0].message.nonce, config_version(2), { change(1), change(2) }, {} });
    EXPECT_TRUE(spread->isReady());
    EXPECT_TRUE(spread->hasVersion(config_version(2)));
}

// Guards against an answer from before a change was accepted, which does not know the change.
TEST_F(config_spread_test, answersOfAnEarlierRoundDoNotCount)
{
    const std::uint64_t first = startWithoutTable();
    receive("e3", versionAnswer(first, 0));
    const std::uint64_t second = nextRound();
    receive("e2", versionAnswer(first, 0));
    EXPECT_FALSE(spread->isReady());
    receive("e2", versionAnswer(second, 0));
    EXPECT_FALSE(spread->isReady());
    receive("e3", versionAnswer(second, 0));
    EXPECT_TRUE(spread->isReady());
}

// Guards against two starting daemons that count each other in their quorums.
TEST_F(config_spread_test, daemonThatIsNotReadyAnswersNothingAndHoldsNothing)
{
    startWithoutTable();
    spread->onChangePushed(change(1), now);
    EXPECT_EQ(spread->version(), config_version(1));
    EXPECT_FALSE(spread->hasVersion(config_version(1)));
    changes_request_message query;
    query.after = changes_request_message::versionOnly;
    EXPECT_TRUE(spread->onChangesRequested(daemon_id("e2"), query, now).empty());
}

// Guards against a version that decreases because an older source answers later.
TEST_F(config_spread_test, olderSourcesNeverLowerTheVersion)
{
    startWithTable(3);
    spread->onTableLoadResult(configurationAt(2), now);
    receive("e2", { 0, config_version(2), { change(1), change(2) }, {} });
    receive("e2", { 0, config_version(2), {}, changes_message::snapshot_part { config_version(2), 0, 2, 2, sliceToText(configurationAt(2), 0, 10'000).text } });
    spread->onTableReadResult(std::vector<configuration_change> { change(2) }, now);
    EXPECT_EQ(spread->version(), config_version(3));
    EXPECT_EQ(snapshotToText(spread->current()), snapshotToText(configurationAt(3)));
}

TEST_F(config_spread_test, gapIsNotAppliedAndAPushAcrossItReadsTheTable)
{
    startWithTable(1);
    const auto reads = actionsOfType<read_table>(spread->onChangePushed(change(3), now));
    EXPECT_FALSE(spread->hasVersion(config_version(3)));
    ASSERT_EQ(reads.size(), 1U);
    EXPECT_EQ(reads[0].after, config_version(1));
    spread->onTableReadResult(std::vector<configuration_change> { change(2), change(3) }, now);
    EXPECT_TRUE(spread->hasVersion(config_version(3)));
}

// Guards against confirming a change that is not in force: a table that was restored to an earlier state accepts a second
// change with the version of one that it has lost.
TEST_F(config_spread_test, secondChangeWithAnAppliedVersionIsNotHeld)
{
    startWithTable(1);
    spread->onChangePushed(change(2), now);
    EXPECT_TRUE(spread->holds(change(2)));
    configuration_change second = change(2);
    second.token = "other";
    second.updates[0].id = "added-after-the-restore";
    const auto failures = actionsOfType<apply_failed>(spread->onChangePushed(second, now));
    EXPECT_FALSE(spread->holds(second));
    EXPECT_EQ(failures.size(), 1U);
    EXPECT_TRUE(spread->holds(change(2)));
    EXPECT_EQ(spread->version(), config_version(2));
}

// A daemon that loaded the lost change from the table has no history to compare the second change with.
TEST_F(config_spread_test, secondChangeWithALoadedVersionIsNotHeld)
{
    startWithTable(2);
    EXPECT_TRUE(spread->holds(change(2)));
    configuration_change second = change(2);
    second.token = "other";
    second.updates[0].id = "added-after-the-restore";
    spread->onChangePushed(second, now);
    EXPECT_FALSE(spread->holds(second));
    second.updates[0] = { entity_kind::Pool, "pool-1", std::nullopt, config_version(1) };
    EXPECT_FALSE(spread->holds(second));
}

// Guards against refusing a change whose effect a later one has replaced.
TEST_F(config_spread_test, changeOverwrittenByALaterOneIsHeld)
{
    startWithTable(2);
    configuration_change update = change(3);
    update.updates[0].id = "pool-2";
    update.updates[0].base = config_version(2);
    spread->onChangePushed(update, now);
    EXPECT_TRUE(spread->holds(update));
    EXPECT_TRUE(spread->holds(change(2)));
    EXPECT_TRUE(spread->holds(change(1)));
}

// Guards against an invalid change that blocks a daemon permanently or is applied in part.
TEST_F(config_spread_test, brokenChangeIsReportedAndLeavesTheVersion)
{
    startWithTable(1);
    configuration_change broken = change(2);
    broken.updates[0].value = R"({"kind":"model"})";
    const auto failures = actionsOfType<apply_failed>(receive("e2", { 0, config_version(2), { broken }, {} }));
    ASSERT_EQ(failures.size(), 1U);
    EXPECT_EQ(failures[0].subject, "e2");
    EXPECT_EQ(spread->version(), config_version(1));
    receive("e3", { 0, config_version(2), { change(2) }, {} });
    EXPECT_EQ(spread->version(), config_version(2));
}

// Guards against a snapshot that mixes two versions, or starts over at every part.
TEST_F(config_spread_test, snapshotArrivesInPartsAlthoughTheVersionChanges)
{
    config_spread_settings settings;
    settings.snapshotPartBytes = 300;
    settings.historyChanges = 1;
    make(settings, "e2");
    startWithTable(0);
    for (std::uint64_t version = 1; version <= 20; ++version)
        spread->onChangePushed(change(version), now);
    config_spread sender = std::move(*spread);
    make(settings);
    startWithoutTable();
    int parts = 0;
    for (int ticks = 0; ticks < 200 && !spread->isReady(); ++ticks) {
        now += milliseconds(100);
        spread_actions pending = spread->tick(now);
        while (!pending.empty()) {
            spread_actions next;
            for (const send_changes_request& sent : actionsOfType<send_changes_request>(pending)) {
                changes_message answer = versionAnswer(sent.message.nonce, 0);
                if (sent.to == daemon_id("e2"))
                    answer = actionsOfType<send_changes>(sender.onChangesRequested(daemon_id("e1"), sent.message, now)).at(0).message;
                if (answer.snapshot && ++parts == 3)
                    sender.onChangePushed(change(21), now);
                const spread_actions caused = receive(sent.to.value(), answer);
                next.insert(next.end(), caused.begin(), caused.end());
            }
            pending = std::move(next);
        }
    }
    EXPECT_TRUE(spread->isReady());
    EXPECT_GT(parts, 5);
    EXPECT_EQ(snapshotToText(spread->current()), snapshotToText(configurationAt(21)));
}

// Guards against a daemon that ignores the versions in frames.
TEST_F(config_spread_test, versionOnAFrameIsFetchedFromItsSender)
{
    config_spread_settings settings;
    settings.exchangeInterval = std::chrono::hours(24);
    make(settings);
    startWithTable(1);
    const changes_request_message request = fetchAfterFrame(2);
    EXPECT_EQ(request.after, config_version(1));
    receive("e2", { request.nonce, config_version(2), { change(2) }, {} });
    EXPECT_EQ(spread->version(), config_version(2));
}

// Guards against a daemon that stays behind because no peer has the single changes any more.
TEST_F(config_spread_test, daemonFarBehindTakesASnapshotInParts)
{
    config_spread_settings settings;
    settings.snapshotPartBytes = 300;
    settings.historyChanges = 1;
    make(settings, "e2");
    startWithTable(20);
    config_spread sender = std::move(*spread);
    settings.exchangeInterval = std::chrono::hours(24);
    make(settings);
    startWithTable(1);
    int emptyAnswers = 0;
    changes_request_message request = fetchAfterFrame(20);
    for (int fetch = 0; fetch < 50 && spread->version() < config_version(20); ++fetch) {
        const auto answers = actionsOfType<send_changes>(sender.onChangesRequested(daemon_id("e1"), request, now));
        ASSERT_EQ(answers.size(), 1U);
        emptyAnswers += answers[0].message.snapshot ? 0 : 1;
        const auto next = actionsOfType<send_changes_request>(receive("e2", answers[0].message));
        if (spread->version() < config_version(20))
            request = next.empty() ? fetchAfterFrame(20) : next[0].message;
    }
    EXPECT_EQ(spread->version(), config_version(20));
    EXPECT_EQ(emptyAnswers, 3) << "a whole configuration is asked for only after others had no changes";
}

// Guards against a late part of another version in a snapshot.
TEST(snapshot_receiver, partOfAnotherVersionIsIgnored)
{
    const auto partOf = [](std::uint64_t version, std::uint32_t first) {
        const configuration whole = configurationAt(version);
        const snapshot_slice slice = sliceToText(whole, first, 1);
        return changes_message::snapshot_part { whole.version, first, static_cast<std::uint32_t>(slice.next),
            static_cast<std::uint32_t>(entityCount(whole)), slice.text };
    };
    snapshot_receiver receiver;
    EXPECT_FALSE(receiver.add(partOf(2, 0)).value());
    EXPECT_FALSE(receiver.add(partOf(3, 1)).value());
    EXPECT_EQ(receiver.next(), 1U);
    const auto complete = receiver.add(partOf(2, 1));
    ASSERT_TRUE(complete && complete.value());
    EXPECT_EQ(snapshotToText(*complete.value()), snapshotToText(configurationAt(2)));
}

// Guards against a daemon that is overloaded by requests of many daemons that are behind.
TEST_F(config_spread_test, answersWithContentAreBoundedPerSecond)
{
    startWithTable(0);
    spread->onChangePushed(change(1), now);
    std::size_t answers = 0;
    for (int request = 0; request < 100; ++request) {
        for (const send_changes& sent : actionsOfType<send_changes>(spread->onChangesRequested(daemon_id("e2"), {}, now)))
            answers += sent.message.changes.size();
    }
    EXPECT_EQ(answers, 20U);
    now += seconds(1);
    EXPECT_EQ(actionsOfType<send_changes>(spread->onChangesRequested(daemon_id("e2"), {}, now))[0].message.changes.size(), 1U);
}

// Guards against a zone without pollers, or with so many that the table is overloaded.
TEST(poller_selection, eachZoneHasThreePollersAndALossReplacesOne)
{
    const availability_zone_id zone("z");
    constexpr int daemonCount = 150;
    std::vector<spread_peer> peers;
    peers.reserve(daemonCount);
    for (int index = 0; index < daemonCount; ++index)
        peers.push_back({ daemon_id("d" + std::to_string(index)), zone });
    const auto pollersAmong = [&](const std::vector<spread_peer>& alive) {
        std::vector<daemon_id> pollers;
        for (const spread_peer& peer : alive) {
            if (isPollerOf(zone, peer.daemon, alive, 3))
                pollers.push_back(peer.daemon);
        }
        return pollers;
    };
    const std::vector<daemon_id> before = pollersAmong(peers);
    ASSERT_EQ(before.size(), 3U);
    std::erase_if(peers, [&](const spread_peer& peer) { return peer.daemon == before[1]; });
    const std::vector<daemon_id> after = pollersAmong(peers);
    ASSERT_EQ(after.size(), 3U);
    EXPECT_EQ(std::count(after.begin(), after.end(), before[0]), 1);
    EXPECT_EQ(std::count(after.begin(), after.end(), before[2]), 1);
}

}
