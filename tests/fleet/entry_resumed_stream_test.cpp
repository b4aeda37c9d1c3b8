#include "tests/fleet/entry_fixture.h"

namespace sardinelb::test {

using std::chrono::milliseconds;

// Streams that have begun, whose runner fails, and that another runner does not continue.
class entry_resumed_stream : public entry_fixture {
protected:
    // Starts two runners. The first one asked sends two events and breaks off; the second one does `onResume`.
    void start(const stand_in_runner::behaviour& onResume)
    {
        const auto behaviour = [this, onResume](const std::shared_ptr<http_server_connection>& caller, const http_request_message& message) {
            if (fieldOf(message, "Last-Event-Id") == "2") {
                onResume(caller, message);
                return;
            }
            caller->beginStream(200, "Attempt-Id: a1\r\nServer-Seal: s.1\r\nContent-Type: text/event-stream\r\n");
            caller->sendChunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
            runAfter(milliseconds(20), [caller] { caller->abort(); });
        };
        addRunner("r1", behaviour);
        addRunner("r2", behaviour);
        startStore();
        startEntry();
    }

    // Returns all bytes that a caller receives for a stream until the entry closes the connection.
    std::string receiveStream()
    {
        return receiveAll(request("POST", "/write/x", "Authorization: Bearer k1\r\nConnection: close\r\n", "p"));
    }

    void expectOnlyTheFirstEvents(const std::string& received)
    {
        EXPECT_EQ(receivedRequests(), 2U);
        EXPECT_EQ(received.find("HTTP/1.1", 1), std::string::npos) << received;
        EXPECT_TRUE(received.ends_with("id: 1\ndata: a\n\nid: 2\ndata: b\n\n\r\n")) << received;
    }
};

// Guards against an error response, with its whole head, in the middle of a stream.
TEST_F(entry_resumed_stream, nextRunnerAnswersWithServerError_streamBrokenOffWithoutTheError)
{
    start(respondsWith(500, "out of order"));
    expectOnlyTheFirstEvents(receiveStream());
}

// Guards against the same when the runner does not accept the request.
TEST_F(entry_resumed_stream, nextRunnerAnswersWithCallerError_streamBrokenOffWithoutTheError)
{
    start(respondsWith(404, "no such stream"));
    expectOnlyTheFirstEvents(receiveStream());
}

// Guards against the same with a success that is no stream.
TEST_F(entry_resumed_stream, nextRunnerAnswersWithoutContent_streamBrokenOff)
{
    start(respondsWith(204, ""));
    expectOnlyTheFirstEvents(receiveStream());
}

// Guards against the same when the runner refuses and no other runner is left.
TEST_F(entry_resumed_stream, nextRunnerRefuses_streamBrokenOffWithoutTheRefusal)
{
    start(respondsWith(503, "full", "Attempt-Id: a1\r\nServer-Seal: s.1\r\nNot-Executed: 1\r\n"));
    const std::string received = receiveStream();
    EXPECT_EQ(received.find("HTTP/1.1", 1), std::string::npos) << received;
    EXPECT_EQ(received.find("full"), std::string::npos) << received;
}

// Guards against a wait for the rest of a stream in which a runner has begun to repeat itself.
TEST_F(entry_resumed_stream, runnerRepeatsAnEvent_continuedByTheNextRunnerAtOnce)
{
    const auto behaviour = [](const std::shared_ptr<http_server_connection>& caller, const http_request_message& message) {
        const bool isResumed = fieldOf(message, "Last-Event-Id") == "2";
        caller->beginStream(200, "Attempt-Id: a1\r\nServer-Seal: s.1\r\n");
        caller->sendChunk(isResumed ? "id: 3\ndata: c\n\n" : "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 1\ndata: a\n\n");
        if (isResumed)
            caller->endStream();
    };
    addRunner("r1", behaviour);
    addRunner("r2", behaviour);
    startStore();
    startEntry();
    const caller_result result = call(request("POST", "/write/x", "Authorization: Bearer k1\r\n", "p"));
    EXPECT_EQ(result.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    EXPECT_EQ(result.exchangeResult, runner_exchange::result::Complete);
    EXPECT_LT(result.took, milliseconds(800));
}

// Guards against a stream that is shown as complete because the next runner's connection closed before its first event.
TEST_F(entry_resumed_stream, nextRunnerClosesBeforeAnEvent_notShownAsComplete)
{
    start([](const std::shared_ptr<http_server_connection>& caller, const http_request_message&) {
        caller->beginStream(200, "Attempt-Id: a1\r\nServer-Seal: s.1\r\n");
        caller->abort();
    });
    expectOnlyTheFirstEvents(receiveStream());
}

}
