#include "tests/fleet/entry_fixture.h"
#include "tests/support/scripted_server.h"

#include <boost/asio/read_until.hpp>

#include <atomic>
#include <thread>
#include <utility>

namespace sardinelb::test {

using std::chrono::milliseconds;

namespace {

// A runner whose process ends after it has written a part of its first answer: nothing listens on its address any more.
class ending_runner {
public:
    explicit ending_runner(std::string body, std::string fields = "")
        : m_acceptor(m_context, { boost::asio::ip::make_address("127.0.0.1"), 0 })
        , m_port(m_acceptor.local_endpoint().port())
        , m_thread([this, body = std::move(body), fields = std::move(fields)] { serve(body, fields); })
    {
    }

    ~ending_runner() { m_thread.join(); }

    std::uint16_t port() const { return m_port; }

private:
    void serve(const std::string& body, const std::string& fields)
    {
        boost::asio::ip::tcp::socket caller = m_acceptor.accept();
        std::string request;
        boost::asio::read_until(caller, boost::asio::dynamic_buffer(request), "\r\n\r\n");
        m_acceptor.close();
        boost::asio::write(caller, boost::asio::buffer("HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Seal: s.1\r\n" + fields + "Connection: close\r\n\r\n" + body));
    }

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port;
    std::thread m_thread;
};

}

// Runners whose answers have neither a length nor chunks and end with their connection.
class entry_unframed : public entry_fixture {
protected:
    // A runner that answers its first request with `body` and then closes the connection, or resets it. Closes later connections at once.
    std::unique_ptr<scripted_server> startRunner(const std::string& id, const std::string& body, bool isReset = false)
    {
        auto runner = std::make_unique<scripted_server>([body, isReset, isFirst = true](raw_connection& connection) mutable {
            if (!std::exchange(isFirst, false))
                return;
            connection.receiveUntil("\r\n\r\n");
            connection.send("HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Seal: s.1\r\nConnection: close\r\n\r\n" + body);
            std::this_thread::sleep_for(milliseconds(50));
            if (isReset)
                connection.reset();
        });
        list(id, *runner);
        return runner;
    }

    void list(const std::string& id, const scripted_server& runner) { list(id, runner.port()); }

    void list(const std::string& id, std::uint16_t port)
    {
        m_rows[id] = R"({"service":"plain","address":"127.0.0.1:)" + std::to_string(port) + R"(","zone":"z","version":"v1","slots":6,"state":"ready","seq":1,"born":1000})";
    }

    void start()
    {
        startStore();
        startEntry();
    }
};

TEST_F(entry_unframed, plainAnswer_connectionCloses_forwardedWhole)
{
    const auto runner = startRunner("r1", "all of it");
    start();
    const caller_result result = call(request("GET", "/look/x"));
    EXPECT_EQ(result.status, 200);
    EXPECT_EQ(result.body, "all of it");
    EXPECT_EQ(result.exchangeResult, runner_exchange::result::Complete);
}

// Guards against presenting an answer as complete whose connection was reset.
TEST_F(entry_unframed, plainAnswer_connectionReset_unknownOutcome)
{
    const auto runner = startRunner("r1", "half of", true);
    start();
    EXPECT_EQ(call(request("GET", "/open/x")).status, 502);
}

TEST_F(entry_unframed, stream_connectionClosesAfterAnEvent_forwardedWhole)
{
    const auto runner = startRunner("r1", "id: 1\ndata: x\n\nid: 2\ndata: y\n\n");
    start();
    const caller_result result = call(request("POST", "/write/x"));
    EXPECT_EQ(result.body, "id: 1\ndata: x\n\nid: 2\ndata: y\n\n");
    EXPECT_EQ(result.exchangeResult, runner_exchange::result::Complete);
}

// Guards against presenting a stream as complete whose runner's process ended between two events.
TEST_F(entry_unframed, stream_runnerEndsBetweenEvents_notComplete)
{
    const ending_runner runner("id: 1\ndata: x\n\n");
    list("r1", runner.port());
    start();
    const caller_result result = call(request("POST", "/write/x"));
    EXPECT_EQ(result.body, "id: 1\ndata: x\n\n");
    EXPECT_EQ(result.exchangeResult, runner_exchange::result::Broken);
}

// Guards against presenting the beginning of a plain answer as the whole, whose runner's process ended on the way.
TEST_F(entry_unframed, plainAnswer_runnerEnds_unknownOutcome)
{
    const ending_runner runner("half of");
    list("r1", runner.port());
    start();
    EXPECT_EQ(call(request("GET", "/open/x")).status, 502);
}

// Guards against dropping the end of a whole answer of a runner that says that it leaves.
TEST_F(entry_unframed, stream_runnerThatLeavesEnds_forwardedWhole)
{
    const ending_runner runner("id: 1\ndata: x\n\n", "Server-Leaving: 1\r\n");
    list("r1", runner.port());
    start();
    EXPECT_EQ(call(request("POST", "/write/x")).exchangeResult, runner_exchange::result::Complete);
}

// Guards against presenting a stream as complete that ended inside an event.
TEST_F(entry_unframed, stream_connectionClosesInsideAnEvent_notComplete)
{
    const auto runner = startRunner("r1", "id: 1\ndata: x\n\nid: 2\nda");
    start();
    const caller_result result = call(request("POST", "/write/x"));
    EXPECT_EQ(result.body, "id: 1\ndata: x\n\n");
    EXPECT_EQ(result.exchangeResult, runner_exchange::result::Broken);
}

// Guards against presenting a stream as complete whose next runner ended before it went on.
TEST_F(entry_unframed, resumedStream_connectionClosesBeforeAnEvent_notComplete)
{
    std::atomic<int> attempts = 0;
    const auto behaviour = [&attempts](raw_connection& connection) {
        connection.receiveUntil("\r\n\r\n");
        const bool isFirst = attempts++ == 0;
        connection.send("HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Seal: s.1\r\nConnection: close\r\n\r\n");
        if (isFirst)
            connection.send("id: 1\ndata: x\n\n");
        std::this_thread::sleep_for(milliseconds(50));
        if (isFirst)
            connection.reset();
    };
    scripted_server first(behaviour);
    scripted_server second(behaviour);
    list("r1", first);
    list("r2", second);
    start();
    const caller_result result = call(request("POST", "/write/x"));
    EXPECT_EQ(attempts, 2);
    EXPECT_EQ(result.body, "id: 1\ndata: x\n\n");
    EXPECT_EQ(result.exchangeResult, runner_exchange::result::Broken);
}

// Guards against presenting a stream as complete whose runner ended before the first event.
TEST_F(entry_unframed, stream_connectionClosesBeforeTheFirstEvent_notComplete)
{
    const auto runner = startRunner("r1", "");
    start();
    EXPECT_EQ(call(request("POST", "/write/x")).exchangeResult, runner_exchange::result::Broken);
}

// Guards against a second answer of the runner inside the caller's stream.
TEST_F(entry_unframed, stream_secondAnswerInside_brokenOffBeforeIt)
{
    const auto runner = startRunner("r1", "id: 1\ndata: x\n\nHTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Seal: s.1\r\n\r\nid: 2\ndata: y\n\n");
    start();
    const caller_result result = call(request("POST", "/write/x"));
    EXPECT_EQ(result.body, "id: 1\ndata: x\n\n");
    EXPECT_EQ(result.exchangeResult, runner_exchange::result::Broken);
}

// Guards against a piece of a stream that the caller gets twice.
TEST_F(entry_unframed, stream_eventRepeated_brokenOffBeforeIt)
{
    const auto runner = startRunner("r1", "id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 1\ndata: x\n\nid: 2\ndata: y\n\n");
    start();
    const caller_result result = call(request("POST", "/write/x"));
    EXPECT_EQ(result.body, "id: 1\ndata: x\n\nid: 2\ndata: y\n\n");
    EXPECT_EQ(result.exchangeResult, runner_exchange::result::Broken);
}

}
