#include "tests/fleet/entry_fixture.h"

namespace sardinelb::test {

using std::chrono::milliseconds;

// Streams whose runner sends two events and then nothing for a while, as a runner does that is short of memory.
class entry_silent_stream : public entry_fixture {
protected:
    using connection = std::shared_ptr<http_server_connection>;

    static constexpr const char* streamHead = "Attempt-Id: a1\r\nServer-Seal: s.1\r\nContent-Type: text/event-stream\r\n";
    static constexpr const char* wholeStream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n";

    static bool isResumed(const http_request_message& message) { return fieldOf(message, "Last-Event-Id") == "2"; }

    // Sends two events, and the rest of the stream after `silence`.
    stand_in_runner::behaviour pausesFor(milliseconds silence)
    {
        return [this, silence](const connection& caller, const http_request_message&) {
            caller->beginStream(200, streamHead);
            caller->sendChunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
            runAfter(silence, [caller] { endStream(caller, "ta: c\n\nid: 4\ndata: d\n\n"); });
        };
    }

    // Begins a resumed stream, and sends its events after `silence`.
    stand_in_runner::behaviour resumesAfter(milliseconds silence)
    {
        return [this, silence](const connection& caller, const http_request_message&) {
            caller->beginStream(200, streamHead);
            runAfter(silence, [caller] { endStream(caller, "id: 3\ndata: c\n\nid: 4\ndata: d\n\n"); });
        };
    }

    static void endStream(const connection& caller, const std::string& events)
    {
        caller->sendChunk(events);
        caller->endStream();
    }

    // Starts two runners. The first one asked does `first`, the one that is to continue the stream does `onResume`.
    void start(const stand_in_runner::behaviour& first, const stand_in_runner::behaviour& onResume)
    {
        const auto behaviour = [first, onResume](const connection& caller, const http_request_message& message) { isResumed(message) ? onResume(caller, message) : first(caller, message); };
        addRunner("r1", behaviour);
        addRunner("r2", behaviour);
        startStore();
        startEntry();
    }

    caller_result callStream() { return call(request("POST", "/write/x", "Authorization: Bearer k1\r\n", "p")); }

    void expectWhole(const caller_result& result)
    {
        EXPECT_EQ(result.body, wholeStream);
        EXPECT_EQ(result.exchangeResult, runner_exchange::result::Complete);
    }

    std::size_t cancelledRequests() const
    {
        std::size_t count = 0;
        for (const auto& runner : m_runners)
            count += runner->callerDisconnects;
        return count;
    }
};

// Guards against ending a sound stream because its runner is silent and the next one is, too.
TEST_F(entry_silent_stream, bothRunnersSilentFor1400Ms_streamComplete)
{
    start(pausesFor(milliseconds(1400)), resumesAfter(milliseconds(1400)));
    expectWhole(callStream());
    EXPECT_EQ(receivedRequests(), 2U);
}

// Guards against the same where the other runner has no room.
TEST_F(entry_silent_stream, otherRunnerRefuses_streamComplete)
{
    start(pausesFor(milliseconds(1500)), respondsWith(503, "", "Attempt-Id: a1\r\nNot-Executed: 1\r\n"));
    expectWhole(callStream());
}

// Guards against the same where the other runner breaks off.
TEST_F(entry_silent_stream, otherRunnerBreaksOff_streamComplete)
{
    start(pausesFor(milliseconds(1500)), aborts());
    expectWhole(callStream());
}

// Guards against the same where the other runner repeats an event.
TEST_F(entry_silent_stream, otherRunnerRepeatsAnEvent_streamComplete)
{
    start(pausesFor(milliseconds(1500)), [](const connection& caller, const http_request_message&) {
        caller->beginStream(200, streamHead);
        caller->sendChunk("id: 2\ndata: b\n\n");
    });
    expectWhole(callStream());
}

// Guards against the same where the entry's budget of repeats is used up.
TEST_F(entry_silent_stream, noRepeatAllowed_streamCompleteFromTheSameRunner)
{
    m_settings.retries = { 0, 0, std::chrono::seconds(10) };
    start(pausesFor(milliseconds(1500)), resumesAfter(milliseconds(0)));
    expectWhole(callStream());
    EXPECT_EQ(receivedRequests(), 1U);
}

// Guards against waiting for a silent runner although another one continues the stream, and against leaving it at work.
TEST_F(entry_silent_stream, otherRunnerContinues_silentOneCancelled)
{
    start(pausesFor(milliseconds(6000)), resumesAfter(milliseconds(50)));
    const caller_result result = callStream();
    expectWhole(result);
    EXPECT_LT(result.took, milliseconds(1800));
    runFor(milliseconds(50));
    EXPECT_EQ(cancelledRequests(), 1U);
}

// Guards against events of both runners in one stream.
TEST_F(entry_silent_stream, silentRunnerGoesOnFirst_otherOneCancelled)
{
    start(pausesFor(milliseconds(1300)), resumesAfter(milliseconds(3000)));
    const caller_result result = callStream();
    expectWhole(result);
    EXPECT_LT(result.took, milliseconds(1800));
    runFor(milliseconds(50));
    EXPECT_EQ(cancelledRequests(), 1U);
}

// Guards against reading no further after a resumed stream has sent more at once than is buffered for its caller.
TEST_F(entry_silent_stream, silentRunnerGoesOnWithALongEvent_streamComplete)
{
    const auto goesOn = [this](const connection& caller, const http_request_message&) {
        caller->beginStream(200, streamHead);
        caller->sendChunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        runAfter(milliseconds(1300), [caller] { caller->sendChunk("id: 3\ndata: " + std::string(400000, 'c') + "\n\n"); });
        runAfter(milliseconds(1400), [caller] { endStream(caller, "id: 4\ndata: d\n\n"); });
    };
    start(goesOn, resumesAfter(milliseconds(6000)));
    const caller_result result = callStream();
    EXPECT_TRUE(result.body.ends_with("id: 4\ndata: d\n\n"));
    EXPECT_EQ(result.exchangeResult, runner_exchange::result::Complete);
}

// Guards against ending a stream although the other runner may continue it, when the silent one breaks off.
TEST_F(entry_silent_stream, silentRunnerBreaksOff_otherOneContinues)
{
    const auto breaksOff = [this](const connection& caller, const http_request_message&) {
        caller->beginStream(200, streamHead);
        caller->sendChunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        runAfter(milliseconds(1200), [caller] { caller->abort(); });
    };
    start(breaksOff, resumesAfter(milliseconds(400)));
    expectWhole(callStream());
}

// Guards against showing a stream as complete to which both runners owe events.
TEST_F(entry_silent_stream, bothRunnersBreakOff_notShownAsComplete)
{
    const auto breaksOff = [this](const connection& caller, const http_request_message&) {
        caller->beginStream(200, streamHead);
        caller->sendChunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        runAfter(milliseconds(1300), [caller] { caller->abort(); });
    };
    start(breaksOff, aborts());
    EXPECT_EQ(callStream().exchangeResult, runner_exchange::result::Broken);
}

// Guards against runners that go on with a request whose caller has left.
TEST_F(entry_silent_stream, callerLeaves_bothRunnersCancelled)
{
    start(pausesFor(milliseconds(6000)), resumesAfter(milliseconds(6000)));
    startCall(m_settings.callerAddress, request("POST", "/write/x", "Authorization: Bearer k1\r\n", "p"));
    runFor(milliseconds(1400));
    EXPECT_EQ(receivedRequests(), 2U);
    m_exchange->cancel();
    runFor(milliseconds(100));
    EXPECT_EQ(cancelledRequests(), 2U);
}

}
