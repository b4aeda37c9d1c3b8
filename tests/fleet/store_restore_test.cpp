#include "fleet/fleet_message.h"
#include "fleet/peer_ports.h"
#include "tests/fleet/entry_fixture.h"
#include "tests/fleet/restorable_store.h"

namespace sardinelb::test {

class store_restore : public entry_fixture {
protected:
    // Time within which an entry must know what the store holds.
    static constexpr std::chrono::milliseconds settleTime { 1000 };

    static constexpr int crashingRunnerCount = 8;

    // Enough answers for the entry to know which parts of prompts are harmless.
    static constexpr int ordinaryRequests = 30;

    static constexpr int crashesUntilQuarantine = 2;

    store_restore()
        : m_restorableStore(m_context)
    {
    }

    // Configuration with one more route, whose path is `/added/`.
    std::string configurationWithRoute(int version) const
    {
        std::string text = configuration(version);
        text.insert(text.find("{\"name\":\"book\""), R"({"name":"added","hostname":"h.example","prefix":"/added/","route_type":"safe","timeout_ms":1000,"target_latency_ms":100,"service":"plain","attempts":2},)");
        return text;
    }

    std::string configuration(int version) const
    {
        const std::string known = "\"version\":7";
        std::string text = m_configuration;
        return text.replace(text.find(known), known.size(), "\"version\":" + std::to_string(version));
    }

    // The store is copied at version 7 and then goes on to version 8 at a much higher revision.
    void startStoreWithCopy()
    {
        addRunner("r0", respondsWith(200, "done"));
        m_restorableStore.listen(m_settings.storeAddress);
        m_restorableStore.put("op", "config", configuration(7));
        m_restorableStore.put("servers", "r0", m_rows.at("r0"));
        m_restorableStore.copy();
        m_restorableStore.skipRevisions(900);
        m_restorableStore.put("op", "config", configuration(8));
    }

    void startWithCopy()
    {
        startStoreWithCopy();
        startEntry();
    }

    // Runners that stream one event, and that end when they begin an answer to a prompt with the part `dead`.
    void addCrashingRunners()
    {
        for (int i = 0; i < crashingRunnerCount; ++i) {
            const std::string id = "c" + std::to_string(i);
            stand_in_runner& runner = addRunner(id, {});
            runner.onRequest = [raw = &runner](const std::shared_ptr<http_server_connection>& caller, const http_request_message& message) {
                if (fieldOf(message, "Prefix-Hash").find("dead:") == std::string::npos) {
                    caller->respond(200, "Attempt-Id: a1\r\nServer-Seal: s.1\r\nContent-Type: text/event-stream\r\n", "id: 1\ndata: x\n\n");
                    return;
                }
                raw->server->stopAccepting();
                caller->abort();
            };
            m_restorableStore.put("servers", id, m_rows.at(id));
        }
        m_restorableStore.remove("servers", "r0");
    }

    caller_result generate(const std::string& parts)
    {
        return call(request("POST", "/write/x", "Authorization: Bearer k1\r\nPrefix-Hash: " + parts + "\r\n", "prompt"));
    }

    // What the entry serves to other entries that read the table of configurations from it.
    std::string servedConfiguration()
    {
        const std::string address = m_settings.ip + ":" + std::to_string(m_settings.firstPeerPort + entryTablePortOffset);
        return callAddress(address, "GET /v1/rows-get?table=op&part= HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").body;
    }

    // Lets another entry serve a row of the table of configurations, and tell that it has it.
    void addPeerWithConfiguration(int version, const std::string& document)
    {
        static constexpr const char* peerIp = "127.0.0.3";
        http_server_connection::hooks hooks;
        hooks.onRequest = [document](const std::shared_ptr<http_server_connection>& caller, http_request_message&&) {
            caller->respond(200, "", platform::encodeRows({ { "config", document, row_revision(901), false } }, row_revision(901)));
        };
        hooks.onRejected = [](int, const char*) {};
        m_peer = std::make_shared<http_listener>(m_context.get_executor(), std::move(hooks));
        std::string problem;
        ASSERT_TRUE(m_peer->listen(std::string(peerIp) + ":" + std::to_string(m_settings.firstPeerPort + entryTablePortOffset), problem)) << problem;
        using boost::asio::ip::udp;
        entry_heartbeat_message heartbeat;
        heartbeat.configuration = config_version(static_cast<std::uint64_t>(version));
        udp::socket socket(m_context, udp::endpoint(boost::asio::ip::make_address(peerIp), 0));
        const unsigned short port = m_settings.firstPeerPort + entryDatagramPortOffset;
        socket.send_to(boost::asio::buffer(encode(heartbeat)), udp::endpoint(boost::asio::ip::make_address(m_settings.ip), port));
    }

    int statusOf(const std::string& path) { return call(request("GET", path)).status; }

    restorable_store m_restorableStore;
    std::shared_ptr<http_listener> m_peer;
};

// Guards against an entry that never takes what is written after a restore, because the store counts from a lower revision.
TEST_F(store_restore, routeAdded_revisionsBelowTheKnownOne_served)
{
    startWithCopy();
    EXPECT_EQ(statusOf("/added/x"), 404);
    m_restorableStore.restore();
    m_restorableStore.put("op", "config", configurationWithRoute(9));
    runFor(settleTime);
    EXPECT_EQ(statusOf("/added/x"), 200);
}

// Guards against missing what was written between a restore and the first call after it, when the store's counter has overtaken the
// known revision by then, so that no history is missing to the store.
TEST_F(store_restore, routeAdded_revisionsHaveOvertakenTheKnownOne_served)
{
    startWithCopy();
    m_restorableStore.restore();
    m_restorableStore.put("op", "config", configurationWithRoute(9));
    m_restorableStore.skipRevisions(2000);
    runFor(settleTime);
    EXPECT_EQ(statusOf("/added/x"), 200);
}

// Guards against a restore whose rows are taken once and then no longer followed.
TEST_F(store_restore, secondRestore_routeAdded_served)
{
    startWithCopy();
    m_restorableStore.restore();
    runFor(settleTime);
    m_restorableStore.skipRevisions(500);
    m_restorableStore.put("op", "config", configuration(9));
    runFor(settleTime);
    m_restorableStore.restore();
    m_restorableStore.put("op", "config", configurationWithRoute(10));
    runFor(settleTime);
    EXPECT_EQ(statusOf("/added/x"), 200);
}

// Guards against a runner that is written after a restore and gets no requests.
TEST_F(store_restore, runnerAdded_revisionsBelowTheKnownOne_used)
{
    startWithCopy();
    stand_in_runner& added = addRunner("r1", respondsWith(200, "done"));
    m_restorableStore.restore();
    m_restorableStore.put("servers", "r1", m_rows.at("r1"));
    runFor(settleTime);
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(statusOf("/look/x"), 200);
    EXPECT_FALSE(added.received.empty());
}

// Guards against the limits of an older configuration, which the store has again after a restore.
TEST_F(store_restore, copyHasOlderConfiguration_limits_stayInForce)
{
    addRunner("r0", respondsWith(200, "done"));
    m_restorableStore.listen(m_settings.storeAddress);
    const std::string newer = configuration(8);
    const std::string limit = "\"max_body_bytes\":10000";
    std::string older = configuration(7);
    older.replace(older.find(limit), limit.size(), "\"max_body_bytes\":100");
    m_restorableStore.put("op", "config", older);
    m_restorableStore.put("servers", "r0", m_rows.at("r0"));
    m_restorableStore.copy();
    m_restorableStore.put("op", "config", newer);
    startEntry();
    m_restorableStore.restore();
    runFor(settleTime);
    EXPECT_EQ(call(request("POST", "/book/x", "Authorization: Bearer k1\r\n", std::string(5000, 'b'))).status, 200);
}

// Guards against entries that give others the older configuration of a restored store while a newer one is in force.
TEST_F(store_restore, copyHasOlderConfiguration_peerReadsTable_getsTheNewest)
{
    startWithCopy();
    const std::string before = servedConfiguration();
    m_restorableStore.restore();
    runFor(settleTime);
    const auto rowOf = [](const std::string& body) { return body.substr(0, body.find("\"has_more\"")); };
    EXPECT_EQ(rowOf(servedConfiguration()), rowOf(before));
}

// Guards against an entry that starts after a restore and cannot take the newer configuration of the others, since its revision is of the
// time before.
TEST_F(store_restore, entryStartsWithTheCopy_peerHasNewerConfiguration_taken)
{
    startStoreWithCopy();
    m_restorableStore.restore();
    startEntry();
    EXPECT_EQ(statusOf("/added/x"), 404);
    addPeerWithConfiguration(9, configurationWithRoute(9));
    runFor(settleTime);
    EXPECT_EQ(statusOf("/added/x"), 200);
}

// Guards against new requests to a runner that drains, whose older entry a restore of the store has brought back.
TEST_F(store_restore, copyShowsDrainingRunnerAsReady_requests_goToTheOther)
{
    startWithCopy();
    stand_in_runner& draining = addRunner("r1", respondsWith(200, "done"));
    m_restorableStore.put("servers", "r1", m_rows.at("r1"));
    m_restorableStore.copy();
    runFor(settleTime);
    std::string row = m_rows.at("r1");
    row.replace(row.find("\"ready\""), 7, "\"draining\"");
    row.replace(row.find("\"seq\":1"), 7, "\"seq\":5");
    m_restorableStore.put("servers", "r1", row);
    runFor(settleTime);
    const std::size_t before = draining.received.size();
    m_restorableStore.restore();
    runFor(settleTime);
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(statusOf("/look/x"), 200);
    EXPECT_EQ(draining.received.size(), before);
}

// Guards against a quarantined prompt part that a restored store has lost, so that it crashes runners again after a restart of all entries.
TEST_F(store_restore, quarantineStored_storeRestored_writtenAgain)
{
    startStoreWithCopy();
    addCrashingRunners();
    startEntry();
    for (int i = 0; i < ordinaryRequests; ++i)
        ASSERT_EQ(generate("a:40,b:60,c" + std::to_string(i) + ":9").status, 200);
    for (int i = 0; i < crashesUntilQuarantine; ++i)
        generate("a:40,dead:60,d" + std::to_string(i) + ":9");
    runFor(settleTime);
    ASSERT_EQ(m_restorableStore.writes().size(), 1U);
    m_restorableStore.restore();
    runFor(settleTime);
    ASSERT_EQ(m_restorableStore.writes().size(), 2U);
    EXPECT_EQ(m_restorableStore.writes().front(), m_restorableStore.writes().back());
}

// Guards against rows from before a restore that arrive late and undo those read after it.
TEST_F(store_restore, responseFromBeforeTheRestore_arrivesAfterItIsKnown_outdated)
{
    m_restorableStore.listen(m_settings.storeAddress);
    platform::store_client client(m_context.get_executor(), m_settings.storeAddress);
    std::vector<platform::store_response::outcome> outcomes;
    const auto record = [&outcomes](const platform::store_response& response) { outcomes.push_back(response.result); };
    client.observeEpoch(store_epoch(1));
    client.read("op", "", record);
    runFor(std::chrono::milliseconds(100));
    m_restorableStore.restore();
    client.read("op", "", record);
    runFor(std::chrono::milliseconds(100));
    const std::vector expected { platform::store_response::outcome::Outdated, platform::store_response::outcome::Done };
    EXPECT_EQ(outcomes, expected);
}

}
