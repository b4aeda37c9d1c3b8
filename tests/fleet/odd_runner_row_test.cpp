#include "platform/runner_row.h"
#include "tests/fleet/entry_fixture.h"

#include <algorithm>
#include <string>

namespace sardinelb::test {

using std::chrono::milliseconds;

namespace {

std::string rowOf(const std::string& address, const std::string& slots = "6", const std::string& more = "")
{
    return R"({"service":"plain","address":")" + address + R"(","zone":"z","state":"ready","slots":)" + slots + more + "}";
}

}

// Rows of other writers among those of the runners.
class odd_runner_row : public entry_fixture {
protected:
    void SetUp() override
    {
        addRunner("r1", respondsWith(200, "ok"));
        startStore();
    }

    // Counts answers other than 200 to `count` requests.
    int failuresIn(int count)
    {
        int failures = 0;
        for (int i = 0; i < count; ++i)
            failures += call(request("POST", "/book/x", "Authorization: Bearer k1\r\n", "b")).status == 200 ? 0 : 1;
        return failures;
    }
};

// Guards against choosing a runner to which no connection can be opened.
TEST_F(odd_runner_row, addressWithoutUsableHostOrPort_read_namesNoRunner)
{
    EXPECT_TRUE(platform::readRunner("i", rowOf("10.0.0.1:80")));
    EXPECT_TRUE(platform::readRunner("i", rowOf("10.0.0.1:65535")));
    EXPECT_TRUE(platform::readRunner("i", rowOf("fd00::1:80")));
    for (const char* address : { "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999999999", "10.0.0.1:-1", "10.0.0.1:80x", "10.0.0.1: 80", " 10.0.0.1:80", "10.0.0.1:80 ", "10.0.0.1:",
             ":80", ":", "", "10.0.0.1", "10.0.0.256:80", "runner.example:80", "0.0.0.0:80", "10.0.0.1:80:80", "10.0.0.1\\u0000:80", "10.0.0.1:80\\n" })
        EXPECT_FALSE(platform::readRunner("i", rowOf(address))) << address;
}

// Guards against requests that fail at a runner that an odd row names beside the good ones.
TEST_F(odd_runner_row, addressesUnusable_listed_allRequestsServedByTheOthers)
{
    int row = 0;
    for (const char* address : { "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999999999", ":80", "runner.example:80", "0.0.0.0:80", "10.0.0.1:80x" })
        m_rows["odd" + std::to_string(row++)] = rowOf(address);
    startEntry();
    EXPECT_EQ(failuresIn(40), 0);
    EXPECT_EQ(receivedRequests(), 40U);
}

// Guards against header fields that an id with line ends adds to the requests of callers.
TEST_F(odd_runner_row, idNoFieldValue_listed_noRequestCarriesIt)
{
    m_rows.erase("r1");
    m_rows["i1\r\nTenant: other"] = rowOf(m_runners.front()->address);
    startEntry();
    call(request("POST", "/book/x", "Authorization: Bearer k1\r\n", "b"));
    for (const http_request_message& received : m_runners.front()->received)
        EXPECT_EQ(received.fields.end(), std::find_if(received.fields.begin(), received.fields.end(), [](const http_field& field) { return field.value == "other"; }));
    EXPECT_EQ(receivedRequests(), 0U);
}

TEST_F(odd_runner_row, idNoFieldValue_read_namesNoRunner)
{
    EXPECT_TRUE(platform::readRunner("i-7f3a91c2", rowOf("10.0.0.1:80")));
    EXPECT_TRUE(platform::readRunner("a&b%\"c", rowOf("10.0.0.1:80")));
    EXPECT_TRUE(platform::readRunner(std::string(200, 'k'), rowOf("10.0.0.1:80")));
    for (const std::string& id : { std::string(), std::string(1, '\0'), std::string("a\nb"), std::string("a\rb"), std::string(" a"), std::string("a "), std::string("a\tb"), std::string("a\x7f"), std::string(5000, 'k') })
        EXPECT_FALSE(platform::readRunner(id, rowOf("10.0.0.1:80"))) << id.substr(0, 20);
}

}
