#include "tests/fleet/entry_fixture.h"

namespace sardinelb::test {

using std::chrono::milliseconds;

// Every test checks at its end that the entry still serves requests.
class entry_bad_input : public entry_fixture {
protected:
    void SetUp() override
    {
        addRunner("r1", respondsWith(200, "ok"));
        startStore();
        startEntry();
    }

    void TearDown() override
    {
        EXPECT_EQ(call(request("GET", "/look/x")).status, 200);
    }
};

TEST_F(entry_bad_input, header_largerThanAllowed_rejectedWith431)
{
    EXPECT_EQ(call(request("GET", "/look/x", "X-Long: " + std::string(6000, 'a') + "\r\n")).status, 431);
}

TEST_F(entry_bad_input, body_largerThanAllowed_rejectedWith413)
{
    EXPECT_EQ(call(request("POST", "/book/x", "Authorization: Bearer k1\r\n", std::string(20000, 'b'))).status, 413);
    EXPECT_EQ(receivedRequests(), 0U);
}

TEST_F(entry_bad_input, header_neverEnds_rejectedWith408InTime)
{
    const caller_result result = call("GET /look/x HTTP/1.1\r\nHost: h.example\r\nX-");
    EXPECT_EQ(result.status, 408);
    EXPECT_LE(result.took, milliseconds(800));
}

// Guards against request smuggling: a message whose end two parsers place differently.
TEST_F(entry_bad_input, request_hasLengthAndTransferCoding_rejectedWith400)
{
    const std::string fields = "Authorization: Bearer k1\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n";
    const caller_result result = call("POST /book/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\n" + fields + "\r\n0\r\n\r\nGET /look/x HTTP/1.1\r\n\r\n");
    EXPECT_EQ(result.status, 400);
    EXPECT_EQ(receivedRequests(), 0U);
}

TEST_F(entry_bad_input, request_namesTwoHosts_rejectedWith400)
{
    EXPECT_EQ(call(request("GET", "/look/x", "Host: other.example\r\nAuthorization: Bearer k1\r\n")).status, 400);
}

TEST_F(entry_bad_input, request_isNotHttp_rejectedWith400)
{
    EXPECT_EQ(call("\x16\x03\x01 hello there\r\n\r\n").status, 400);
}

TEST_F(entry_bad_input, request_hasUnknownTransferCoding_isNotForwarded)
{
    const caller_result result = call("POST /book/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\nAuthorization: Bearer k1\r\nTransfer-Encoding: gzip\r\n\r\nabc");
    EXPECT_GE(result.status, 400);
    EXPECT_EQ(receivedRequests(), 0U);
}

}
