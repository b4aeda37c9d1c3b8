#include "fleet/fleet_message.h"
#include "fleet/peer_ports.h"
#include "serving/runner_directory.h"
#include "serving/zone_evacuations.h"
#include "tests/fleet/entry_fixture.h"
#include "tests/fleet/restorable_store.h"

#include <gtest/gtest.h>

#include <algorithm>

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
    EXPECT_TRUE(m_other.onChanges({ written("a", 12) }, at(10), at(12)));
    EXPECT_TRUE(m_entry.onView(m_other.view(m_now), m_now));
    EXPECT_TRUE(isEvacuated("a"));
    EXPECT_FALSE(m_entry.onView(m_other.view(m_now), m_now)) << "repeated";
    m_other.onChanges({ removed("a", 15) }, at(12), at(15));
    EXPECT_TRUE(m_entry.onView(m_other.view(m_now), m_now));
    EXPECT_FALSE(isEvacuated("a"));
}

// Guards against a late statement that undoes a newer one, in both directions.
TEST_F(zone_evacuation_order, olderViewArrivesLate_ignored)
{
    m_other.onSnapshot({ written("a", 9) }, at(10), m_now);
    const zone_evacuation_view evacuated = m_other.view(m_now);
    m_other.onChanges({ removed("a", 15) }, at(10), at(15));
    m_entry.onView(m_other.view(m_now), m_now);
    EXPECT_FALSE(m_entry.onView(evacuated, m_now));
    EXPECT_FALSE(isEvacuated("a"));
    EXPECT_FALSE(m_entry.onSnapshot({ written("a", 9) }, at(12), m_now)) << "a page that the store sent before";
    m_entry.onChanges({ written("a", 20) }, at(15), at(20));
    EXPECT_FALSE(m_entry.onSnapshot({}, at(18), m_now));
    EXPECT_TRUE(isEvacuated("a"));
}

// Guards against passing on a view with missing rows as complete, which would lift evacuations that others know.
TEST_F(zone_evacuation_order, changesDoNotFollowTheKnownView_takenButNotPassedOn)
{
    m_other.onSnapshot({ written("a", 11) }, at(11), m_now);
    m_entry.onSnapshot({}, at(10), m_now);
    EXPECT_FALSE(m_entry.isCompleteUpTo(at(20)));
    EXPECT_TRUE(m_entry.onChanges({ written("b", 22) }, at(20), at(25)));
    EXPECT_TRUE(isEvacuated("b"));
    EXPECT_FALSE(m_other.onView(m_entry.view(m_now), m_now));
    m_entry.onSnapshot({ written("a", 11), written("b", 22) }, at(30), m_now);
    EXPECT_TRUE(isEvacuated("a"));
}

// Guards against requests to an evacuated zone because a restored store has lost the operator's row, at the entry that knew it and at
// those that learn of it, and against a zone that entries keep evacuated for good by telling each other.
TEST_F(zone_evacuation_order, restoredStoreLacksTheRow_evacuatedUntilTimeoutAtAllEntries)
{
    m_entry.onSnapshot({ written("a", 9) }, at(900), m_now);
    EXPECT_FALSE(m_entry.onSnapshot({}, at(5, 1), m_now));
    m_other.onSnapshot({}, at(5, 1), m_now);
    zone_evacuations startedLater;
    for (std::uint64_t i = 0; i < 200; ++i) {
        m_now += milliseconds(500);
        const std::uint64_t known = 5 + 2 * i;
        m_other.onChanges({}, at(known, 1), at(known + 1, 1));
        m_entry.onView(m_other.view(m_now), m_now);
        m_entry.onChanges({}, at(known + 1, 1), at(known + 2, 1));
        m_other.onView(m_entry.view(m_now), m_now);
        if (i >= 40)
            startedLater.onView(m_other.view(m_now), m_now);
        for (zone_evacuations* entry : { &m_entry, &m_other, &startedLater })
            entry->removeExpired(m_now);
        EXPECT_EQ(isEvacuated("a"), i < 59) << i;
        EXPECT_EQ(m_other.isEvacuated(availability_zone_id("a")), i < 59) << i;
        EXPECT_EQ(startedLater.isEvacuated(availability_zone_id("a")), i >= 40 && i < 59) << i;
    }
}

// Guards against dropping the zone with the second read of all rows after the restore, or with the view of an entry that never knew it.
TEST_F(zone_evacuation_order, restoredStoreLacksTheRow_readOrToldAgain_staysEvacuated)
{
    m_entry.onSnapshot({ written("a", 9) }, at(900), m_now);
    m_entry.onSnapshot({}, at(5, 1), m_now);
    EXPECT_FALSE(m_entry.onSnapshot({}, at(6, 1), m_now));
    EXPECT_TRUE(isEvacuated("a"));
    m_other.onSnapshot({}, at(20, 1), m_now);
    EXPECT_FALSE(m_entry.onView(m_other.view(m_now), m_now));
    EXPECT_TRUE(isEvacuated("a"));
}

// Guards against a zone that all entries evacuate again because one that was cut off has missed that the operator took it back.
TEST_F(zone_evacuation_order, takenBackAfterRestore_cutOffEntryReturns_notEvacuatedAgain)
{
    m_entry.onSnapshot({ written("a", 9) }, at(900), m_now);
    m_other.onSnapshot({ written("a", 9) }, at(900), m_now);
    m_other.onSnapshot({}, at(40, 1), m_now);
    m_other.onChanges({ written("a", 45) }, at(40, 1), at(45, 1));
    m_other.onChanges({ removed("a", 49) }, at(45, 1), at(50, 1));
    m_entry.onSnapshot({}, at(51, 1), m_now);
    EXPECT_TRUE(isEvacuated("a")) << "it has not heard of the others yet";
    EXPECT_FALSE(m_other.onView(m_entry.view(m_now), m_now));
    EXPECT_TRUE(m_entry.onView(m_other.view(m_now), m_now));
    EXPECT_FALSE(isEvacuated("a"));
    zone_evacuations started;
    started.onView(m_other.view(m_now), m_now);
    m_entry.onSnapshot({}, at(52, 1), m_now);
    EXPECT_FALSE(started.onView(m_entry.view(m_now), m_now));
}

// Guards against the same long after the restore.
TEST_F(zone_evacuation_order, restoreIsLongKnown_cutOffEntryReturns_othersDoNotEvacuate)
{
    m_other.onSnapshot({}, at(40, 1), m_now);
    m_entry.onSnapshot({ written("a", 9) }, at(900), m_now);
    m_now += seconds(60);
    m_entry.onSnapshot({}, at(51, 1), m_now);
    EXPECT_TRUE(isEvacuated("a"));
    EXPECT_FALSE(m_other.onView(m_entry.view(m_now), m_now));
    EXPECT_FALSE(m_other.isEvacuated(availability_zone_id("a")));
}

// Guards against evacuating a zone that the operator took back, because a restored store has the row again.
TEST_F(zone_evacuation_order, restoredStoreHasRemovedRowAgain_ignoredForAWhile)
{
    m_entry.onSnapshot({ written("a", 9) }, at(10), m_now);
    m_entry.onChanges({ removed("a", 70) }, at(10), at(900));
    EXPECT_FALSE(m_entry.onSnapshot({ written("a", 9) }, at(50, 1), m_now));
    EXPECT_FALSE(isEvacuated("a"));
    m_entry.onChanges({}, at(50, 1), at(51, 1));
    EXPECT_FALSE(m_entry.onSnapshot({ written("a", 9) }, at(52, 1), m_now)) << "read again";
    EXPECT_TRUE(m_other.onSnapshot({ written("a", 9) }, at(53, 1), m_now)) << "it has never known the row";
    EXPECT_FALSE(m_entry.onView(m_other.view(m_now), m_now));
    EXPECT_TRUE(m_other.onView(m_entry.view(m_now), m_now));
    EXPECT_FALSE(m_other.isEvacuated(availability_zone_id("a")));
    EXPECT_FALSE(m_entry.removeExpired(m_now + seconds(29)));
    EXPECT_TRUE(m_entry.removeExpired(m_now + seconds(31))) << "the operator has not removed it again";
    EXPECT_TRUE(isEvacuated("a"));
    EXPECT_FALSE(m_entry.onView(m_other.view(m_now), m_now + seconds(31))) << "another entry still ignores it";
}

// Guards against ignoring an evacuation that the operator writes right after a restore, when revisions are lower than before.
TEST_F(zone_evacuation_order, rowWrittenAfterRestore_lowRevision_believedAtOnce)
{
    m_entry.onSnapshot({ written("a", 9) }, at(10), m_now);
    m_entry.onChanges({ removed("a", 70) }, at(10), at(900));
    EXPECT_TRUE(m_entry.onSnapshot({ written("a", 51), written("b", 52) }, at(52, 1), m_now));
    EXPECT_TRUE(isEvacuated("a"));
    EXPECT_TRUE(isEvacuated("b"));
}

// Guards against ignoring an evacuation that the operator writes while an older row of the zone is ignored.
TEST_F(zone_evacuation_order, ignoredRowIsWrittenAgain_believedAtOnce)
{
    m_entry.onSnapshot({ written("a", 9) }, at(10), m_now);
    m_entry.onChanges({ removed("a", 70) }, at(10), at(900));
    m_entry.onSnapshot({ written("a", 9) }, at(50, 1), m_now);
    EXPECT_TRUE(m_entry.onChanges({ written("a", 53) }, at(50, 1), at(53, 1)));
    EXPECT_TRUE(m_entry.onChanges({ removed("a", 54) }, at(53, 1), at(54, 1)));
}

// Guards against undoing a change that is newer than the view or the read of all rows that arrives after it.
TEST_F(zone_evacuation_order, viewOlderThanAnIncompleteChange_changeStays)
{
    m_entry.onSnapshot({ written("a", 9) }, at(10), m_now);
    m_entry.onChanges({ written("b", 22), removed("a", 23) }, at(20), at(25));
    m_other.onSnapshot({ written("a", 9) }, at(15), m_now);
    EXPECT_FALSE(m_entry.onView(m_other.view(m_now), m_now));
    EXPECT_TRUE(isEvacuated("b"));
    EXPECT_FALSE(isEvacuated("a"));
    EXPECT_FALSE(m_entry.onSnapshot({ written("a", 9) }, at(18), m_now));
    EXPECT_TRUE(isEvacuated("b"));
    EXPECT_FALSE(isEvacuated("a"));
    EXPECT_TRUE(m_entry.onSnapshot({}, at(30), m_now)) << "a newer one decides";
    EXPECT_FALSE(isEvacuated("b"));
}

// Guards against the same when the change shows that the store has been restored, and a late read of all rows is from before that.
TEST_F(zone_evacuation_order, readFromBeforeTheRestore_changeOfTheNewEpochStays)
{
    m_entry.onSnapshot({}, at(10), m_now);
    m_entry.onChanges({ written("b", 5) }, at(4, 1), at(6, 1));
    EXPECT_FALSE(m_entry.onSnapshot({}, at(12), m_now));
    EXPECT_TRUE(isEvacuated("b"));
    EXPECT_FALSE(m_entry.removeExpired(m_now + seconds(60))) << "its row is there";
}

// Guards against heartbeats that grow beyond a datagram.
TEST_F(zone_evacuation_order, manyZones_keptUpToTheBound)
{
    std::vector<zone_evacuations::change> rows;
    for (std::uint64_t i = 1; i <= 100; ++i)
        rows.push_back(written("z" + std::to_string(i), i));
    m_entry.onSnapshot(rows, at(100), m_now);
    EXPECT_EQ(m_entry.zones().size(), zone_evacuations::maxZones);
    for (std::uint64_t i = 0; i < 100; ++i)
        m_entry.onChanges({ removed("z" + std::to_string(i), 101 + i) }, at(100 + i), at(101 + i));
    EXPECT_EQ(m_entry.view(m_now).removals.size(), zone_evacuations::maxZones);
}

// Guards against a zone that stays evacuated although the operator has written and removed the row after the restore.
TEST_F(zone_evacuation_order, rowRemovedAfterRestore_takenBackAtOnce)
{
    m_entry.onSnapshot({ written("a", 9) }, at(900), m_now);
    m_entry.onSnapshot({}, at(5, 1), m_now);
    m_entry.onChanges({ written("a", 6) }, at(5, 1), at(6, 1));
    EXPECT_FALSE(m_entry.removeExpired(m_now + seconds(60))) << "the row is there";
    EXPECT_TRUE(m_entry.onChanges({ removed("a", 7) }, at(6, 1), at(7, 1)));
    EXPECT_FALSE(isEvacuated("a"));
}

class zone_evacuation_message : public testing::Test { };

TEST_F(zone_evacuation_message, heartbeat_carriesView)
{
    entry_heartbeat_message heartbeat;
    heartbeat.evacuations = { at(77, 3), { { availability_zone_id("a"), at(70, 3), std::nullopt }, { availability_zone_id("b"), at(900, 2), milliseconds(1500) } }, { { availability_zone_id("c"), at(76, 3), row_revision(60) } } };
    const auto decoded = decode(encode(heartbeat));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(std::get<entry_heartbeat_message>(*decoded).evacuations, heartbeat.evacuations);
}

// Guards against heartbeats beyond the size of a datagram.
TEST_F(zone_evacuation_message, mostAndLongestNames_fitsADatagram)
{
    constexpr std::size_t maxDatagramSize = 65507;
    entry_heartbeat_message heartbeat;
    const std::size_t empty = encode(heartbeat).size();
    const availability_zone_id zone(std::string(64, 'z'));
    heartbeat.evacuations.asOf = at(100);
    heartbeat.evacuations.zones.assign(zone_evacuations::maxZones * 2, { zone, at(99), milliseconds(5) });
    heartbeat.evacuations.removals.assign(zone_evacuations::maxZones, { zone, at(99), row_revision(98) });
    RecordProperty("added_bytes", static_cast<int>(encode(heartbeat).size() - empty));
    EXPECT_LT(encode(heartbeat).size() - empty, maxDatagramSize / 4);
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
TEST_F(evacuated_runner_choice, runnerOutsideWasTried_chosenAgainInsteadOfTheEvacuatedOne)
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

// Guards against callers that are held until their timeout while the only runner outside the evacuated zones goes.
TEST_F(evacuated_runner_choice, runnerOutsideDrains_poolIsEvacuated)
{
    listed_runner draining = runnerIn("b");
    draining.isDraining = true;
    m_directory.setRunners({ runnerIn("a"), draining }, m_now);
    EXPECT_TRUE(m_directory.isPoolEvacuated(m_pool));
    m_directory.setEvacuatedZones({}, m_now);
    EXPECT_FALSE(m_directory.isPoolEvacuated(m_pool));
    m_directory.setRunners({ draining }, m_now);
    EXPECT_FALSE(m_directory.isPoolEvacuated(m_pool)) << "no zone of it is evacuated";
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

    // Starts an entry with runners in the zones `z`, `y` and `x`. The first one asked fails after a while; meanwhile the operator evacuates the
    // zone of one of the others. Returns what the caller receives.
    caller_result callWhileZoneIsEvacuated(const std::string& bytes, const stand_in_runner::behaviour& onFirst, const stand_in_runner::behaviour& onRetry)
    {
        m_runners[0]->onRequest = [=, this](const std::shared_ptr<http_server_connection>& caller, const http_request_message& message) {
            receivedRequests() == 1 ? onFirst(caller, message) : onRetry(caller, message);
        };
        for (const std::string zone : { "y", "x" }) {
            addRunner("r-" + zone, m_runners[0]->onRequest);
            std::string& row = m_rows.at("r-" + zone);
            const std::string field = "\"zone\":\"z\"";
            row.replace(row.find(field), field.size(), "\"zone\":\"" + zone + "\"");
            m_operatorStore.put("servers", "r-" + zone, row);
        }
        startEntry();
        const auto result = startCall(m_settings.callerAddress, bytes);
        runFor(milliseconds(100));
        EXPECT_EQ(receivedRequests(), 1U);
        m_evacuated = m_runners[0]->received.empty() ? 0 : 1;
        m_operatorStore.put("op", m_evacuated == 0 ? "evacuate/z" : "evacuate/y", "{}");
        runFor(settleTime);
        EXPECT_EQ(receivedRequests(), 2U);
        return *result;
    }

    // When the first runner fails. The entry knows of the evacuation by then, and does not yet take the runner for silent.
    static constexpr milliseconds failureDelay { 400 };

    std::size_t m_evacuated = 0;

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
    sendView({ at(5000), { { availability_zone_id("z"), at(4000), std::nullopt } }, {} });
    EXPECT_EQ(status(), 503);
    sendView({ at(4500), {}, {} });
    EXPECT_EQ(status(), 503) << "an older view arrives late";
    sendView({ at(6000), {}, {} });
    EXPECT_EQ(status(), 200);
}

// Guards against a retry into a zone that was evacuated during the first attempt.
TEST_F(entry_evacuation, attemptFails_retry_staysOutside)
{
    const auto fail = [this](const std::shared_ptr<http_server_connection>& caller, const http_request_message&) {
        runAfter(failureDelay, [caller] { caller->respond(500, "Attempt-Id: a1\r\nServer-Seal: s.1\r\n", "out of order"); });
    };
    EXPECT_EQ(callWhileZoneIsEvacuated(request("GET", "/look/x"), fail, respondsWith(200, "done")).status, 200);
    EXPECT_TRUE(m_runners[m_evacuated]->received.empty());
}

// Guards against a stream that is continued in a zone that was evacuated after it had begun.
TEST_F(entry_evacuation, streamBreaksOff_resume_staysOutside)
{
    static constexpr const char* head = "Attempt-Id: a1\r\nServer-Seal: s.1\r\nContent-Type: text/event-stream\r\n";
    const auto begin = [this](const std::shared_ptr<http_server_connection>& caller, const http_request_message&) {
        caller->beginStream(200, head);
        caller->sendChunk("id: 1\ndata: a\n\n");
        runAfter(failureDelay, [caller] { caller->abort(); });
    };
    const auto resume = [](const std::shared_ptr<http_server_connection>& caller, const http_request_message& message) {
        EXPECT_EQ(fieldOf(message, "Last-Event-Id"), "1");
        caller->beginStream(200, head);
        caller->sendChunk("id: 2\ndata: b\n\n");
        caller->endStream();
    };
    const caller_result result = callWhileZoneIsEvacuated(request("POST", "/write/x", "Authorization: Bearer k1\r\n", "p"), begin, resume);
    EXPECT_EQ(result.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    EXPECT_TRUE(m_runners[m_evacuated]->received.empty());
}

// Guards against callers that wait until their timeout, and are told a wrong reason, when the zone they wait for is evacuated.
TEST_F(entry_evacuation, requestWaits_zoneIsEvacuated_rejectedAtOnce)
{
    m_runners[0]->onRequest = respondsWith(503, "later", "Attempt-Id: a1\r\nServer-Seal: s.1\r\nNot-Executed: 1\r\nRetry-After: 0.6\r\n");
    startEntry();
    const auto first = startCall(m_settings.callerAddress, request("GET", "/look/x"));
    const auto firstExchange = m_exchange;
    runFor(milliseconds(50));
    const auto waiting = startCall(m_settings.callerAddress, request("GET", "/look/x"));
    runFor(milliseconds(100));
    EXPECT_FALSE(waiting->isEnded) << "the runner has asked for a pause";
    EXPECT_EQ(receivedRequests(), 1U);
    testing::internal::CaptureStdout();
    m_operatorStore.put("op", "evacuate/z", "{}");
    runFor(milliseconds(300));
    const std::string log = testing::internal::GetCapturedStdout();
    EXPECT_EQ(waiting->status, 503);
    EXPECT_TRUE(waiting->fields.contains("Retry-After"));
    EXPECT_NE(log.find("all zones of the pool are evacuated"), std::string::npos) << log;
    EXPECT_EQ(receivedRequests(), 1U);
}

// Guards against taking the key without a name, or a name that would not fit a heartbeat, for a zone.
TEST_F(entry_evacuation, nameIsEmptyOrTooLong_ignored)
{
    startEntry();
    m_operatorStore.put("op", "evacuate/", "{}");
    m_operatorStore.put("op", "evacuate/" + std::string(1000, 'x'), "{}");
    runFor(settleTime);
    EXPECT_EQ(status(), 200);
    m_operatorStore.put("op", "evacuate/z", "{}");
    runFor(settleTime);
    EXPECT_EQ(status(), 503);
}

// Guards against requests to an evacuated zone whose row the store loses, and a zone that stays empty after it is taken back there.
TEST_F(entry_evacuation, storeRestoredWithoutTheRow_staysInForceUntilTakenBack)
{
    m_operatorStore.copy();
    m_operatorStore.skipRevisions(900);
    startEntry();
    m_operatorStore.put("op", "evacuate/z", "{}");
    runFor(settleTime);
    EXPECT_EQ(status(), 503);
    m_operatorStore.restore();
    runFor(settleTime);
    EXPECT_EQ(status(), 503);
    m_operatorStore.put("op", "evacuate/z", "{}");
    runFor(settleTime);
    EXPECT_EQ(status(), 503);
    m_operatorStore.remove("op", "evacuate/z");
    runFor(settleTime);
    EXPECT_EQ(status(), 200);
}

// Guards against evacuating a zone again that the operator took back after the copy was made.
TEST_F(entry_evacuation, storeRestoredWithTheRemovedRow_ignored)
{
    startEntry();
    m_operatorStore.put("op", "evacuate/z", "{}");
    runFor(settleTime);
    EXPECT_EQ(status(), 503);
    m_operatorStore.copy();
    m_operatorStore.skipRevisions(900);
    m_operatorStore.remove("op", "evacuate/z");
    runFor(settleTime);
    EXPECT_EQ(status(), 200);
    m_operatorStore.restore();
    runFor(settleTime);
    EXPECT_EQ(status(), 200);
    m_operatorStore.put("op", "evacuate/z", "{}");
    runFor(settleTime);
    EXPECT_EQ(status(), 503);
}

}
