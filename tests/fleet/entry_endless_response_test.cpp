#include "tests/fleet/entry_fixture.h"
#include "tests/support/scripted_server.h"

#include <array>
#include <fstream>

namespace sardinelb::test {

using std::chrono::milliseconds;

// Runners that send bytes without end until the entry closes the connection.
class entry_endless_response : public entry_fixture {
protected:
    std::unique_ptr<scripted_server> startRunner(const std::string& id, const std::string& begin, const std::string& repeated)
    {
        auto runner = std::make_unique<scripted_server>([begin, repeated](raw_connection& connection) {
            connection.receiveUntil("\r\n\r\n");
            connection.send(begin);
            while (connection.send(repeated)) { }
        });
        m_rows[id] = R"({"service":"plain","address":"127.0.0.1:)" + std::to_string(runner->port()) + R"(","zone":"z","version":"v1","slots":6,"state":"ready","seq":1,"born":1000})";
        return runner;
    }

    // Memory of the process in bytes.
    static std::size_t residentBytes()
    {
        std::size_t pages = 0;
        std::ifstream("/proc/self/statm") >> pages >> pages;
        return pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
    }

    void expectEndedWithin(std::size_t maxGrowthBytes, const std::string& target)
    {
        startStore();
        startEntry();
        const std::size_t before = residentBytes();
        const caller_result result = call(request("POST", target, "Authorization: Bearer k1\r\n", "b"));
        EXPECT_TRUE(result.status == 502 || result.exchangeResult == runner_exchange::result::Broken) << result.status;
        EXPECT_LT(result.took, milliseconds(900));
        EXPECT_LT(residentBytes(), before + maxGrowthBytes);
    }

    static constexpr std::size_t megabyte = 1048576;
};

// Guards against memory that grows until the caller's deadline, which ends the whole process.
TEST_F(entry_endless_response, body_neverEnds_unknownOutcomeAndMemoryBounded)
{
    const auto runner = startRunner("r1", "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Seal: s.1\r\n\r\n", std::string(65536, 'x'));
    expectEndedWithin(32 * megabyte, "/book/x");
}

TEST_F(entry_endless_response, event_neverEnds_brokenOffAndMemoryBounded)
{
    const auto runner = startRunner("r1", "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Seal: s.1\r\n\r\ndata: ", std::string(65536, 'x'));
    expectEndedWithin(32 * megabyte, "/write/x");
}

TEST_F(entry_endless_response, head_neverEnds_unknownOutcomeAndMemoryBounded)
{
    const auto runner = startRunner("r1", "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n");
    expectEndedWithin(8 * megabyte, "/book/x");
}

TEST_F(entry_endless_response, chunkSizeLine_neverEnds_unknownOutcomeAndMemoryBounded)
{
    const auto runner = startRunner("r1", "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Seal: s.1\r\nTransfer-Encoding: chunked\r\n\r\n2;a=", std::string(65536, 'x'));
    expectEndedWithin(8 * megabyte, "/book/x");
}

// Guards against ending whichever answer grows next, of any caller, once answers without end have filled the memory for all answers.
TEST_F(entry_endless_response, longBodiesFillTheMemory_ordinaryAnswerBesideThem_forwardedWhole)
{
    const std::string fields = "Attempt-Id: a1\r\nServer-Seal: s.1\r\n";
    const std::string ordinary(2 * megabyte, 'o');
    addRunner("r1", [&](const std::shared_ptr<http_server_connection>& caller, const http_request_message& message) {
        if (message.target == "/book/ordinary") {
            caller->respond(200, fields, ordinary);
            return;
        }
        caller->beginStream(200, fields);
        caller->sendChunk(std::string(8000000, 'x'));
    });
    startStore();
    startEntry();
    const std::string longRequest = request("POST", "/book/long");
    std::array<std::shared_ptr<caller_result>, 4> longAnswers;
    for (auto& answer : longAnswers)
        answer = startCall(m_settings.callerAddress, longRequest);
    runFor(milliseconds(400));
    const caller_result result = call(request("POST", "/book/ordinary"));
    EXPECT_EQ(result.status, 200);
    EXPECT_EQ(result.body, ordinary);
    int ended = 0;
    for (const auto& answer : longAnswers)
        ended += answer->status == 502 ? 1 : 0;
    EXPECT_EQ(ended, 1);
}

TEST_F(entry_endless_response, trailer_neverEnds_unknownOutcomeAndMemoryBounded)
{
    const auto runner = startRunner("r1", "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Seal: s.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "X-Field: value\r\n");
    expectEndedWithin(8 * megabyte, "/book/x");
}

}
