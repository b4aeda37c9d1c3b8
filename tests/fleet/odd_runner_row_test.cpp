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

// Guards against conversions without a defined result, and against a start time that hides a runner's next start.
TEST_F(odd_runner_row, numberOutOfRange_read_namesNoRunner)
{
    EXPECT_EQ(platform::readRunner("i", rowOf("10.0.0.1:80", "6.0"))->slots, 6U);
    for (const char* slots : { "-1", "2.5", "1e308", "1e400", "4294967296", "18446744073709551616", "1e99999999999", "NaN", "\"6\"", "[6]", "{\"a\":6}", "null" })
        EXPECT_FALSE(platform::readRunner("i", rowOf("10.0.0.1:80", slots))) << slots;
    EXPECT_EQ(platform::readRunner("i", rowOf("10.0.0.1:80", "6", R"(,"born":1764918000000)"))->startedAtMs, 1764918000000U);
    for (const char* born : { "-1", "1764918000000.5", "1e308", "1e400", "18446744073709551615", "\"1764918000000\"", "[]" })
        EXPECT_FALSE(platform::readRunner("i", rowOf("10.0.0.1:80", "6", std::string(",\"born\":") + born))) << born;
}

// Guards against log lines and digests of megabytes.
TEST_F(odd_runner_row, nameOfMegabytes_read_namesNoRunner)
{
    const std::string longName(3000000, 'z');
    EXPECT_FALSE(platform::readRunner("i", R"({"service":"plain","address":"10.0.0.1:80","zone":")" + longName + R"(","state":"ready","slots":6})"));
    EXPECT_FALSE(platform::readRunner("i", R"({"service":")" + longName + R"(","address":"10.0.0.1:80","state":"ready","slots":6})"));
    EXPECT_FALSE(platform::readRunner("i", R"({"service":"plain","address":"10.0.0.1:80","zone":7,"state":"ready","slots":6})"));
}

// Guards against an entry that ends, or stops following the list, at a row that cannot be read.
TEST_F(odd_runner_row, rowsUnreadable_listedAndChanged_othersFollowed)
{
    m_rows["deep1"] = std::string(300000, '[');
    m_rows["deep2"] = rowOf("10.0.0.1:80", "6", R"(,"later":)" + std::string(5000, '[') + std::string(5000, ']'));
    m_rows["text"] = "\xff\xfe\x01";
    m_rows["empty"] = "";
    m_rows["list"] = "[]";
    m_rows["bad-utf8"] = rowOf("10.0.0.1:80", "6", ",\"later\":\"\xc3\x28\"");
    m_rows["long"] = rowOf("10.0.0.1:0", "6", R"(,"later":")" + std::string(200000, 'x') + "\"");
    for (int i = 0; i < 600; ++i)
        m_rows["many" + std::to_string(i)] = rowOf("10.0.0.1:" + std::to_string(70000 + i));
    startEntry();
    EXPECT_EQ(failuresIn(10), 0);
    stand_in_runner& later = addRunner("r2", respondsWith(200, "ok"));
    ++m_revision;
    runFor(milliseconds(1500));
    m_rows["deep3"] = std::string(300000, '{');
    ++m_revision;
    runFor(milliseconds(800));
    EXPECT_EQ(failuresIn(20), 0);
    EXPECT_GT(later.received.size(), 0U);
}

}
