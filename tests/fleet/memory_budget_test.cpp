#include "relay/memory_budget.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace sardinelb::test {

using stage = memory_budget::stage;

// Connections of one budget that record who had to give way.
class memory_budget_order : public testing::Test {
protected:
    static constexpr std::size_t kibibyte = 1024;

    memory_budget::handle open(const std::string& name)
    {
        return m_budget.open([this, name](eviction_reason reason) { m_evicted.push_back(name + " " + nameOf(reason)); }, m_now);
    }

    // Opens a connection that has received part of a request.
    memory_budget::handle receive(const std::string& name, std::size_t bytes)
    {
        const auto connection = open(name);
        m_budget.enter(connection, stage::Receiving, m_now);
        EXPECT_TRUE(m_budget.reserve(connection, memory_use::Body, bytes, m_now));
        return connection;
    }

    memory_budget m_budget { { 800 * kibibyte, 4 } };
    time_point m_now { std::chrono::seconds(100) };
    std::vector<std::string> m_evicted;
};

// Guards against refusing what fits, and against counting bytes that have been released.
TEST_F(memory_budget_order, bytesReleased_reservedAgain)
{
    const auto first = receive("first", 600 * kibibyte);
    m_budget.charge(first, memory_use::Body, 0, m_now);
    const auto second = receive("second", 600 * kibibyte);
    EXPECT_EQ(m_budget.usedBytes(memory_use::Body), 600 * kibibyte);
    m_budget.close(second);
    m_budget.close(first);
    EXPECT_EQ(m_budget.usedBytes(), 0U);
    EXPECT_TRUE(m_evicted.empty());
}

// Guards against dropping requests that arrive while bodies that stopped short keep their memory.
TEST_F(memory_budget_order, someStalled_largestOfThemFirst)
{
    receive("small", 100 * kibibyte);
    receive("large", 300 * kibibyte);
    m_now += std::chrono::seconds(2);
    receive("moving", 290 * kibibyte);
    receive("next", 200 * kibibyte);
    EXPECT_EQ(m_evicted, (std::vector<std::string> { "large stalled" }));
}

// Guards against an answer that ends because its caller waits for the runner.
TEST_F(memory_budget_order, requestPassedOn_keepsItsMemory)
{
    const auto served = receive("served", 600 * kibibyte);
    m_budget.enter(served, stage::Serving, m_now);
    m_now += std::chrono::seconds(60);
    const auto next = open("next");
    m_budget.enter(next, stage::Receiving, m_now);
    EXPECT_FALSE(m_budget.reserve(next, memory_use::Body, 600 * kibibyte, m_now));
    EXPECT_TRUE(m_evicted.empty());
}

// Guards against callers that read nothing and thereby keep others out.
TEST_F(memory_budget_order, responseUnread_givesWayAfterAWhile)
{
    const auto unread = receive("unread", 0);
    m_budget.enter(unread, stage::Sending, m_now);
    m_budget.charge(unread, memory_use::Unsent, 600 * kibibyte, m_now);
    m_now += std::chrono::milliseconds(1500);
    EXPECT_FALSE(m_budget.reserve(open("early"), memory_use::Body, 600 * kibibyte, m_now));
    m_now += std::chrono::seconds(1);
    EXPECT_TRUE(m_budget.reserve(open("late"), memory_use::Body, 600 * kibibyte, m_now));
    EXPECT_EQ(m_evicted.back(), "unread stalled");
}

// Guards against one large body that takes the place of many small ones, and against small requests that find no room beside large ones.
TEST_F(memory_budget_order, allMoving_largestGivesWay)
{
    receive("large", 500 * kibibyte);
    receive("middle", 200 * kibibyte);
    receive("small", 90 * kibibyte);
    EXPECT_TRUE(m_evicted.empty());
    receive("next", 100 * kibibyte);
    EXPECT_EQ(m_evicted, (std::vector<std::string> { "large largest_request" }));
}

TEST_F(memory_budget_order, largestAsks_refusedItself)
{
    receive("other", 300 * kibibyte);
    const auto large = receive("large", 300 * kibibyte);
    EXPECT_FALSE(m_budget.reserve(large, memory_use::Body, 500 * kibibyte, m_now));
    EXPECT_TRUE(m_evicted.empty());
}

// Guards against answers that cannot be delivered because nobody gives way for what is there already.
TEST_F(memory_budget_order, charge_overTheLimit_othersGiveWay)
{
    receive("other", 500 * kibibyte);
    const auto answered = open("answered");
    m_budget.enter(answered, stage::Serving, m_now);
    m_budget.charge(answered, memory_use::Unsent, 500 * kibibyte, m_now);
    EXPECT_EQ(m_evicted, (std::vector<std::string> { "other largest_request" }));
}

// Guards against connections that send nothing and keep others out, and against closing one that has just been opened.
TEST_F(memory_budget_order, connectionsUsedUp_longestIdleCloses)
{
    const auto served = open("served");
    m_budget.enter(served, stage::Serving, m_now);
    for (const char* name : { "oldest", "idle", "newest" })
        open(name);
    EXPECT_FALSE(m_budget.admit(m_now));
    EXPECT_TRUE(m_evicted.empty());
    m_now += std::chrono::seconds(2);
    m_budget.admit(m_now);
    EXPECT_EQ(m_evicted, (std::vector<std::string> { "oldest idle" }));
}

// Guards against a large body that closes the kept-alive connections of others, which frees next to nothing.
TEST_F(memory_budget_order, memoryWanted_idleConnectionsStay)
{
    for (const char* name : { "idle", "other idle" })
        m_budget.charge(open(name), memory_use::Connection, memory_budget::connectionBytes, m_now);
    m_now += std::chrono::seconds(2);
    const auto large = open("large");
    m_budget.enter(large, stage::Receiving, m_now);
    EXPECT_FALSE(m_budget.reserve(large, memory_use::Body, 790 * kibibyte, m_now));
    EXPECT_TRUE(m_evicted.empty());
}

// Guards against ending requests for one that is refused all the same.
TEST_F(memory_budget_order, evictionsNotEnough_nobodyGivesWay)
{
    receive("small", 100 * kibibyte);
    const auto served = receive("served", 500 * kibibyte);
    m_budget.enter(served, stage::Serving, m_now);
    m_now += std::chrono::seconds(2);
    const auto next = open("next");
    m_budget.enter(next, stage::Receiving, m_now);
    EXPECT_FALSE(m_budget.reserve(next, memory_use::Body, 400 * kibibyte, m_now));
    EXPECT_TRUE(m_evicted.empty());
}

// Guards against bytes read ahead that end the requests of others.
TEST_F(memory_budget_order, tryReserve_noRoom_nobodyGivesWay)
{
    receive("other", 600 * kibibyte);
    const auto reader = open("reader");
    m_budget.enter(reader, stage::Serving, m_now);
    EXPECT_TRUE(m_budget.tryReserve(reader, memory_use::Head, 100 * kibibyte));
    EXPECT_FALSE(m_budget.tryReserve(reader, memory_use::Head, 300 * kibibyte));
    EXPECT_EQ(m_budget.usedBytes(memory_use::Head), 100 * kibibyte);
    EXPECT_TRUE(m_evicted.empty());
}

// Guards against a connection that is accepted without memory for it and then ends a request.
TEST_F(memory_budget_order, memoryUsedUp_newConnectionRefused)
{
    const auto receiving = receive("receiving", 100 * kibibyte);
    m_budget.charge(receiving, memory_use::Connection, 695 * kibibyte, m_now);
    EXPECT_FALSE(m_budget.admit(m_now));
    EXPECT_TRUE(m_evicted.empty());
    m_budget.charge(receiving, memory_use::Body, 0, m_now);
    EXPECT_TRUE(m_budget.admit(m_now));
}

// Guards against a newcomer that is refused though a connection gives way to it, only because that one still sends its last response.
TEST_F(memory_budget_order, stalledRequestReplaced_newConnectionAdmitted)
{
    for (const char* name : { "first", "second", "third" })
        m_budget.enter(receive(name, kibibyte), stage::Serving, m_now);
    receive("stalled", kibibyte);
    m_now += std::chrono::seconds(2);
    EXPECT_TRUE(m_budget.admit(m_now));
    EXPECT_EQ(m_evicted, (std::vector<std::string> { "stalled stalled" }));
    open("newcomer");
    EXPECT_FALSE(m_budget.admit(m_now));
}

// Guards against breaking off a response for the sake of a new connection.
TEST_F(memory_budget_order, connectionsUsedUp_responsesUnread_newConnectionRefused)
{
    for (const char* name : { "first", "second", "third", "fourth" })
        m_budget.enter(receive(name, kibibyte), stage::Sending, m_now);
    m_now += std::chrono::seconds(5);
    EXPECT_FALSE(m_budget.admit(m_now));
    EXPECT_TRUE(m_evicted.empty());
}

// Guards against a slow reader that may keep as much as if it were the only one.
TEST_F(memory_budget_order, memoryFillsUp_slowReadersKeepLess)
{
    memory_budget budget { callerLimitsFor(std::size_t { 160 } << 20, 4200) };
    const std::size_t alone = budget.maxUnsentBytes();
    EXPECT_EQ(alone, 262144U);
    const auto user = budget.open([](eviction_reason) {}, m_now);
    budget.charge(user, memory_use::Unsent, budget.limits().bytes * 9 / 10, m_now);
    EXPECT_LT(budget.maxUnsentBytes(), alone / 2);
}

TEST_F(memory_budget_order, limitsOfSmallMachine_roomForOneRequest)
{
    EXPECT_EQ(callerLimitsFor(0, 0).bytes, std::size_t { 32 } << 20);
    EXPECT_GT(callerLimitsFor(0, 0).connections, 0U);
    EXPECT_EQ(callerLimitsFor(std::size_t { 160 } << 20, 4200).connections, 3000U);
}

}
