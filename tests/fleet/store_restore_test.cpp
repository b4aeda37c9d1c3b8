#include "tests/fleet/entry_fixture.h"
#include "tests/fleet/restorable_store.h"

namespace sardinelb::test {

class store_restore : public entry_fixture {
protected:
    // Time within which an entry must know what the store holds.
    static constexpr std::chrono::milliseconds settleTime { 1000 };

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

    // Starts an entry whose store is copied at version 7 and then goes on to version 8 at a much higher revision.
    void startWithCopy()
    {
        addRunner("r0", respondsWith(200, "done"));
        m_restorableStore.listen(m_settings.storeAddress);
        m_restorableStore.put("op", "config", configuration(7));
        m_restorableStore.put("servers", "r0", m_rows.at("r0"));
        m_restorableStore.copy();
        m_restorableStore.skipRevisions(900);
        m_restorableStore.put("op", "config", configuration(8));
        startEntry();
    }

    int statusOf(const std::string& path) { return call(request("GET", path)).status; }

    restorable_store m_restorableStore;
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

}
