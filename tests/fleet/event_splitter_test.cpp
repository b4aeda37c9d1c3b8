#include "serving/event_splitter.h"

#include <gtest/gtest.h>

#include <string>

namespace sardinelb::test {

// Events of a stream that a runner repeats, reorders or mixes with other bytes.
class event_stream : public testing::Test {
protected:
    std::string take(const std::string& bytes)
    {
        m_splitter.add(bytes);
        return m_splitter.takeEvents();
    }

    event_splitter m_splitter;
};

// Guards against a second answer of the runner inside the stream.
TEST_F(event_stream, block_headOfAnAnswer_malformedAndNotTaken)
{
    const std::string first = "id: 1\ndata: a\n\n";
    EXPECT_EQ(take(first + "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n\r\nid: 2\ndata: b\n\n"), first);
    EXPECT_TRUE(m_splitter.isMalformed());
    EXPECT_EQ(m_splitter.lastEventId(), "1");
    EXPECT_EQ(m_splitter.eventCount(), 1U);
    EXPECT_TRUE(m_splitter.hasPartialEvent());
}

// Guards against forwarding an event into which the head of a second answer has been written.
TEST_F(event_stream, event_cutAndFollowedByAnAnswer_malformedAndNotTaken)
{
    for (const char* begin : { "id: 1\nda", "id: 1\ndata: ab", "i", "id: 1\n" }) {
        m_splitter.dropPartialEvent();
        EXPECT_EQ(take(std::string(begin) + "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n\r\n"), "") << begin;
        EXPECT_TRUE(m_splitter.isMalformed()) << begin;
    }
}

TEST_F(event_stream, block_noKnownField_malformed)
{
    for (const char* block : { "nothing\n\n", "weight-versions: 3\n\n", "{\"error\":\"no\"}\r\n\r\n", "Internal error\n\n" }) {
        m_splitter.dropPartialEvent();
        EXPECT_EQ(take(block), "") << block;
        EXPECT_TRUE(m_splitter.isMalformed()) << block;
    }
}

// Guards against events that come twice or in the wrong order.
TEST_F(event_stream, id_doesNotRise_malformedAndNotTaken)
{
    for (const char* id : { "8", "7", "0", "", "x", "-9", "9x", "99999999999999999999" }) {
        event_splitter splitter;
        splitter.add("id: 8\ndata: a\n\nid: " + std::string(id) + "\ndata: b\n\n");
        EXPECT_EQ(splitter.takeEvents(), "id: 8\ndata: a\n\n") << id;
        EXPECT_TRUE(splitter.isMalformed()) << id;
        EXPECT_EQ(splitter.lastEventId(), "8") << id;
    }
}

// Guards against breaking off a stream whose ids cannot be compared.
TEST_F(event_stream, ids_noNumbers_takenInAnyOrder)
{
    const std::string events = "id: b\ndata: a\n\nid: a\ndata: b\n\n";
    EXPECT_EQ(take(events), events);
    EXPECT_EQ(m_splitter.lastEventId(), "a");
}

TEST_F(event_stream, nextRunner_repeatsAnEvent_malformed)
{
    take("id: 8\ndata: a\n\nid: 9\nda");
    m_splitter.dropPartialEvent();
    EXPECT_EQ(take("id: 8\ndata: a\n\n"), "");
    EXPECT_TRUE(m_splitter.isMalformed());
    m_splitter.dropPartialEvent();
    EXPECT_FALSE(m_splitter.isMalformed());
    EXPECT_EQ(take("id: 9\ndata: b\n\n"), "id: 9\ndata: b\n\n");
}

TEST_F(event_stream, callerResumes_eventItAlreadyHas_malformed)
{
    m_splitter.resumeAfter("12");
    EXPECT_EQ(m_splitter.lastEventId(), "");
    EXPECT_EQ(take("id: 12\ndata: a\n\n"), "");
    EXPECT_TRUE(m_splitter.isMalformed());
}

TEST_F(event_stream, events_everyKnownForm_takenUnchanged)
{
    const std::string events = "\n\nid: 1\ndata: a\n\n: comment\n\nweight-versions: 3\nid:2\ndata\n\nevent: end\r\nretry: 10\r\n\r\ndata: no id\n\r\n\n\nid: 30\r\ndata: x:y\n\n";
    EXPECT_EQ(take(events), events);
    EXPECT_FALSE(m_splitter.isMalformed());
    EXPECT_EQ(m_splitter.eventCount(), 6U);
    EXPECT_EQ(m_splitter.lastEventId(), "30");
    EXPECT_FALSE(m_splitter.hasPartialEvent());
    EXPECT_EQ(take("\r\n\n"), "");
    EXPECT_FALSE(m_splitter.hasPartialEvent());
}

}
