#include "daemon/configuration_feed.h"

#include "state/memory_table.h"

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sardinelb {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

configuration_change draft(const std::string& pool, const std::string& author = "kim")
{
    return { {}, author, author + "-" + pool,
        { { entity_kind::Pool, pool, R"({"kind":"model","wanted_runners":1})", config_version() } } };
}

// The feed of one entry, which polls a table that a test can restore from an earlier copy. All work runs at once.
class configuration_feed_test : public testing::Test {
protected:
    configuration_feed_test()
    {
        configuration_feed::hooks hooks;
        hooks.send = [](const daemon_id&, const peer_message&) {};
        hooks.runOnStoreThread = [](const std::function<void()>& work) {
            work();
            return true;
        };
        hooks.runOnDecisionThread = [this](const std::function<void(time_point)>& work) {
            work(now);
            return true;
        };
        hooks.onConfiguration = [this](const std::shared_ptr<const directory>& next) { active = next; };
        config_spread_settings settings;
        settings.self = daemon_id("e1");
        settings.zone = availability_zone_id("z");
        feed = std::make_unique<configuration_feed>(
            settings, std::vector<entry_address> {}, table.hooks(), std::move(hooks));
        feed->start(now);
        // Only a daemon with peers polls the table.
        feed->onPeerConnected(daemon_id("r1"));
        poll();
    }

    void poll()
    {
        constexpr int ticks = 30;
        for (int tick = 0; tick < ticks; ++tick) {
            now += milliseconds(100);
            feed->tick(now);
        }
    }

    // Commits a change as an operator does, with a view of the log of its own.
    configuration_change commit(const configuration_change& change)
    {
        change_log log(table.hooks());
        EXPECT_TRUE(log.load());
        const auto committed = log.append(change);
        EXPECT_TRUE(committed);
        return committed ? committed.value() : configuration_change {};
    }

    std::size_t poolsInTable()
    {
        change_log log(table.hooks());
        const auto loaded = log.load();
        return loaded ? loaded.value().pools.size() : 0;
    }

    memory_table table;
    time_point now { seconds(100) };
    std::shared_ptr<const directory> active;
    std::unique_ptr<configuration_feed> feed;
};

// Guards against a confirmed change that is lost with the table's acknowledged rows.
TEST_F(configuration_feed_test, restoredTable_afterOneRead_holdsTheConfirmedChangesAgain)
{
    commit(draft("a"));
    poll();
    const memory_table copy = table;
    commit(draft("b"));
    commit(draft("c"));
    poll();
    table = copy;
    ASSERT_EQ(poolsInTable(), 1U);
    poll();
    EXPECT_EQ(poolsInTable(), 3U);
    EXPECT_EQ(active->config.version, config_version(3));
    commit(draft("d"));
    poll();
    EXPECT_EQ(active->config.pools.size(), 4U);
}

// Guards against a table that is restored to the state before its first change.
TEST_F(configuration_feed_test, emptyTable_afterOneRead_holdsTheConfirmedChangesAgain)
{
    const memory_table copy = table;
    commit(draft("a"));
    commit(draft("b"));
    poll();
    table = copy;
    poll();
    EXPECT_EQ(poolsInTable(), 2U);
}

// Guards against overwriting a change that was committed after the restore, and against changes of two histories.
TEST_F(configuration_feed_test, changeCommittedAfterTheRestore_isKept_andTheOldOneStaysInForce)
{
    commit(draft("a"));
    const memory_table copy = table;
    commit(draft("b"));
    commit(draft("c"));
    poll();
    table = copy;
    commit(draft("d", "lee"));
    poll();
    EXPECT_EQ(poolsInTable(), 2U);
    EXPECT_EQ(active->config.version, config_version(3));
    EXPECT_EQ(active->config.pools.count(pool_id("d")), 0U);
}

// Guards against a configuration of two histories: a change that follows one which this daemon does not have.
TEST_F(configuration_feed_test, changesAfterAnotherHistory_areNotApplied)
{
    commit(draft("a"));
    const memory_table copy = table;
    commit(draft("b"));
    poll();
    table = copy;
    commit(draft("c", "lee"));
    commit(draft("d", "lee"));
    poll();
    EXPECT_EQ(active->config.version, config_version(2));
    EXPECT_EQ(active->config.pools.count(pool_id("d")), 0U);
}

// Guards against a gap in the table: changes that this daemon does not know cannot be written again.
TEST_F(configuration_feed_test, tableLostMoreThanIsKnown_isLeftAsItIs)
{
    memory_table other;
    change_log log(other.hooks());
    ASSERT_TRUE(log.append(draft("a")));
    ASSERT_TRUE(log.append(draft("b")));
    const auto third = log.append(draft("c"));
    ASSERT_TRUE(third);
    EXPECT_FALSE(change_log(table.hooks()).rewriteLost({ third.value() }));
    EXPECT_TRUE(table.rows().empty());
}

}

}
