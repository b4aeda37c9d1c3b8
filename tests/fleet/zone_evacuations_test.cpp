#include "fleet/fleet_message.h"
#include "fleet/peer_ports.h"
#include "serving/runner_directory.h"
#include "serving/zone_evacuations.h"
#include "tests/fleet/entry_fixture.h"
#include "tests/fleet/restorable_store.h"

#include <gtest/gtest.h>

namespace sardinelb::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

store_revision at(std::uint64_t revision, std::uint64_t epoch = 0)
{
    return { store_epoch(epoch), row_revision(revision) };
}

zone_evacuations::change written(const std::string& zone, std::uint64_t revision)
{
    return { availability_zone_id(zone), row_revision(revision), false };
}

zone_evacuations::change removed(const std::string& zone, std::uint64_t revision)
{
    return { availability_zone_id(zone), row_revision(revision), true };
}

}

class zone_evacuation_order : public testing::Test {
protected:
    bool isEvacuated(const std::string& zone) const { return m_entry.isEvacuated(availability_zone_id(zone)); }

    zone_evacuations m_entry;
    zone_evacuations m_other;
    time_point m_now { seconds(100) };
};

// Guards against an entry that misses an evacuation, or its end, because the store refuses it.
TEST_F(zone_evacuation_order, storeTellsOnlyTheOther_viewsReceived_bothFollow)
{
    m_other.onSnapshot({}, at(10), m_now);
    EXPECT_TRUE(m_other.onChanges({ written("a", 12) }, at(10), at(12), m_now));
    EXPECT_TRUE(m_entry.onView(m_other.view(m_now), m_now));
    EXPECT_TRUE(isEvacuated("a"));
    EXPECT_FALSE(m_entry.onView(m_other.view(m_now), m_now)) << "repeated";
    m_other.onChanges({ removed("a", 15) }, at(12), at(15), m_now);
    EXPECT_TRUE(m_entry.onView(m_other.view(m_now), m_now));
    EXPECT_FALSE(isEvacuated("a"));
}

// Guards against a late statement that undoes a newer one, in both directions.
TEST_F(zone_evacuation_order, olderViewArrivesLate_ignored)
{
    m_other.onSnapshot({ written("a", 9) }, at(10), m_now);
    const zone_evacuation_view evacuated = m_other.view(m_now);
    m_other.onChanges({ removed("a", 15) }, at(10), at(15), m_now);
    m_entry.onView(m_other.view(m_now), m_now);
    EXPECT_FALSE(m_entry.onView(evacuated, m_now));
    EXPECT_FALSE(isEvacuated("a"));
    EXPECT_FALSE(m_entry.onSnapshot({ written("a", 9) }, at(12), m_now)) << "a page that the store sent before";
    m_entry.onChanges({ written("a", 20) }, at(15), at(20), m_now);
    EXPECT_FALSE(m_entry.onSnapshot({}, at(18), m_now));
    EXPECT_TRUE(isEvacuated("a"));
}

// Guards against passing on a view with missing rows as complete, which would lift evacuations that others know.
TEST_F(zone_evacuation_order, changesDoNotFollowTheKnownView_takenButNotPassedOn)
{
    m_other.onSnapshot({ written("a", 11) }, at(11), m_now);
    m_entry.onSnapshot({}, at(10), m_now);
    EXPECT_FALSE(m_entry.isCompleteUpTo(at(20)));
    EXPECT_TRUE(m_entry.onChanges({ written("b", 22) }, at(20), at(25), m_now));
    EXPECT_TRUE(isEvacuated("b"));
    EXPECT_FALSE(m_other.onView(m_entry.view(m_now), m_now));
    m_entry.onSnapshot({ written("a", 11), written("b", 22) }, at(30), m_now);
    EXPECT_TRUE(isEvacuated("a"));
}

// Guards against requests to an evacuated zone because a restored store has lost the operator's row, and against a zone that two
// entries keep evacuated for good by telling each other.
TEST_F(zone_evacuation_order, restoredStoreLacksTheRow_evacuatedUntilTimeoutAtAllEntries)
{
    m_entry.onSnapshot({ written("a", 9) }, at(900), m_now);
    EXPECT_FALSE(m_entry.onSnapshot({}, at(5, 1), m_now));
    EXPECT_TRUE(isEvacuated("a"));
    for (std::uint64_t i = 0; i < 200; ++i) {
        m_now += milliseconds(500);
        m_entry.onChanges({}, at(5 + i, 1), at(6 + i, 1), m_now);
        m_other.onView(m_entry.view(m_now), m_now);
        m_other.onChanges({}, at(6 + i, 1), at(6 + i, 1), m_now);
        m_entry.onView(m_other.view(m_now), m_now);
        for (zone_evacuations* entry : { &m_entry, &m_other })
            entry->removeExpired(m_now);
        EXPECT_EQ(isEvacuated("a"), i < 59) << i;
        EXPECT_EQ(m_other.isEvacuated(availability_zone_id("a")), i < 59) << i;
    }
}

// Guards against a zone that stays evacuated although the operator has written and removed the row after the restore.
TEST_F(zone_evacuation_order, rowRemovedAfterRestore_takenBackAtOnce)
{
    m_entry.onSnapshot({ written("a", 9) }, at(900), m_now);
    m_entry.onSnapshot({}, at(5, 1), m_now);
    m_entry.onChanges({ written("a", 6) }, at(5, 1), at(6, 1), m_now);
    EXPECT_FALSE(m_entry.removeExpired(m_now + seconds(60))) << "the row is there";
    EXPECT_TRUE(m_entry.onChanges({ removed("a", 7) }, at(6, 1), at(7, 1), m_now));
    EXPECT_FALSE(isEvacuated("a"));
}

class zone_evacuation_message : public testing::Test { };

TEST_F(zone_evacuation_message, heartbeat_carriesView)
{
    entry_heartbeat_message heartbeat;
    heartbeat.evacuations = { at(77, 3), { { availability_zone_id("a"), at(70, 3), std::nullopt }, { availability_zone_id("b"), at(900, 2), milliseconds(1500) } } };
    const auto decoded = decode(encode(heartbeat));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(std::get<entry_heartbeat_message>(*decoded).evacuations, heartbeat.evacuations);
}

class evacuated_runner_choice : public testing::Test {
protected:
    evacuated_runner_choice()
    {
        m_directory.setEngine(m_pool, std::nullopt);
        m_directory.setRunners({ runnerIn("a"), runnerIn("b") }, m_now);
        m_directory.setEvacuatedZones({ availability_zone_id("a") }, m_now);
    }

    static listed_runner runnerIn(const std::string& zone)
    {
        listed_runner runner;
        runner.id = runner_id("r-" + zone);
        runner.pool = pool_id("p");
        runner.address = "10.1.0." + zone + ":80";
        runner.zone = availability_zone_id(zone);
        runner.slots = 4;
        return runner;
    }

    const pool_id m_pool { "p" };
    time_point m_now { seconds(100) };
    runner_directory m_directory { [] { return 0.5; } };
};

// Guards against a retry into the evacuated zone when all other runners have been tried, and against counting its slots as room.
TEST_F(evacuated_runner_choice, otherRunnersWereTried_theirZoneIsChosenAgain)
{
    EXPECT_EQ(m_directory.choose(m_pool, { runner_id("r-b") }, m_now), runner_id("r-b"));
    EXPECT_EQ(m_directory.exclusionOf(*m_directory.find(runner_id("r-a")), m_now), exclusion_reason::ZoneEvacuated);
    EXPECT_DOUBLE_EQ(m_directory.freedSlotsPerSecond(m_pool), 4 / 2.0);
    EXPECT_FALSE(m_directory.isPoolEvacuated(m_pool));
}

TEST_F(evacuated_runner_choice, allZonesEvacuated_noRunner)
{
    m_directory.setEvacuatedZones({ availability_zone_id("a"), availability_zone_id("b") }, m_now);
    EXPECT_FALSE(m_directory.choose(m_pool, {}, m_now));
    EXPECT_TRUE(m_directory.isPoolEvacuated(m_pool));
    EXPECT_EQ(m_directory.freeSlots(m_pool, m_now), 0U);
    m_directory.setEvacuatedZones({}, m_now);
    EXPECT_TRUE(m_directory.choose(m_pool, {}, m_now));
}

class entry_evacuation : public entry_fixture {
protected:
    // An entry must follow the operator within this time, though the store or another entry tells it late.
    static constexpr milliseconds settleTime { 1000 };

    entry_evacuation()
        : m_operatorStore(m_context)
    {
        addRunner("r0", respondsWith(200, "done"));
        m_operatorStore.listen(m_settings.storeAddress);
        m_operatorStore.put("op", "config", m_configuration);
        m_operatorStore.put("servers", "r0", m_rows.at("r0"));
    }

    // Sends the entry the view of another one.
    void sendView(const zone_evacuation_view& view)
    {
        using boost::asio::ip::udp;
        entry_heartbeat_message heartbeat;
        heartbeat.evacuations = view;
        udp::socket socket(m_context, udp::endpoint(boost::asio::ip::make_address("127.0.0.3"), 0));
        const unsigned short port = m_settings.firstPeerPort + entryDatagramPortOffset;
        socket.send_to(boost::asio::buffer(encode(heartbeat)), udp::endpoint(boost::asio::ip::make_address(m_settings.ip), port));
        runFor(milliseconds(100));
    }

    int status() { return call(request("GET", "/look/x")).status; }

    restorable_store m_operatorStore;
};

// Guards against requests to an evacuated zone, callers that are held until their timeout although no zone is left, and a zone that
// stays empty after the operator has taken it back.
TEST_F(entry_evacuation, operatorWritesAndRemovesRow_rejectedAtOnceThenServed)
{
    startEntry();
    EXPECT_EQ(status(), 200);
    m_operatorStore.put("op", "evacuate/z", "{}");
    runFor(settleTime);
    const std::size_t before = receivedRequests();
    const caller_result rejected = call(request("GET", "/look/x"));
    EXPECT_EQ(rejected.status, 503);
    EXPECT_LT(rejected.took, milliseconds(100));
    EXPECT_EQ(receivedRequests(), before);
    m_operatorStore.remove("op", "evacuate/z");
    runFor(settleTime);
    EXPECT_EQ(status(), 200);
}

// Guards against ending the answer that a runner of an evacuated zone has begun.
TEST_F(entry_evacuation, requestRuns_zoneIsEvacuated_answered)
{
    m_runners[0]->onRequest = [this](const std::shared_ptr<http_server_connection>& caller, const http_request_message&) {
        runAfter(milliseconds(700), [caller] { caller->respond(200, "Attempt-Id: a1\r\nServer-Seal: s.1\r\n", "done"); });
    };
    startEntry();
    const auto running = startCall(m_settings.callerAddress, request("GET", "/look/x"));
    runFor(milliseconds(100));
    m_operatorStore.put("op", "evacuate/z", "{}");
    runFor(settleTime);
    EXPECT_EQ(running->status, 200);
}

// Guards against an entry that the store refuses, and that therefore misses the operator's row.
TEST_F(entry_evacuation, storeTellsNothing_otherEntrySendsView_inForce)
{
    startEntry();
    EXPECT_EQ(status(), 200);
    sendView({ at(5000), { { availability_zone_id("z"), at(4000), std::nullopt } } });
    EXPECT_EQ(status(), 503);
    sendView({ at(4500), {} });
    EXPECT_EQ(status(), 503) << "an older view arrives late";
    sendView({ at(6000), {} });
    EXPECT_EQ(status(), 200);
}

}
