#include "platform/configuration_row.h"
#include "platform/quarantine_row.h"
#include "platform/request_translation.h"
#include "platform/runner_row.h"
#include "platform/settings.h"
#include "relay/http_request_message.h"
#include "relay/http_response_head.h"
#include "serving/serving_configuration.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

namespace sardinelb::test {

using std::chrono::milliseconds;

class configuration_document : public testing::Test { };

TEST_F(configuration_document, example_read_namesLimitsAndKeys)
{
    std::string problem;
    const auto read = platform::readConfiguration(R"({"version":7,"routes":[{"name":"r","hostname":"h","prefix":"/p/","route_type":"streaming",
        "timeout_ms":8000,"target_latency_ms":500,"priority":1,"backends":[{"service":"a","weight":90},{"service":"b","weight":10}],
        "attempts":2,"public":false,"resumable":true,"target_gap_ms":120}],"services":[{"name":"a","max_conns":338,"engine":{"slots":12,
        "stride":4,"sets":6,"experts":64,"placements":11,"spare":4,"expert_mb":1700.0,"link_mbps":92000.0}}],
        "tenants":[{"name":"t","api_keys":["k"],"priority":3}],"limits":{"idle_timeout_ms":15000}})",
        problem);
    ASSERT_TRUE(read) << problem;
    const traffic_route& route = read->routes.front();
    EXPECT_EQ(route.retrySemantics, retry_semantics::ResumableStream);
    EXPECT_EQ(route.callerIdleTimeout, milliseconds(2000));
    ASSERT_EQ(route.pools.size(), 2U);
    EXPECT_EQ(route.pools[1].weight, 10U);
    const engine_profile& engine = *read->pools.at(pool_id("a")).engine;
    EXPECT_EQ(engine.expertsPerRank, 11U);
    EXPECT_NEAR(std::chrono::duration<double>(engine.expertCopyTime).count(), 0.148, 0.001);
    EXPECT_EQ(read->keys.at("k").priority, 3);
    EXPECT_TRUE(read->requiresKeys);
}

// Guards against applying a version in part.
TEST_F(configuration_document, routeWithoutHost_read_wholeDocumentRefused)
{
    std::string problem;
    EXPECT_FALSE(platform::readConfiguration(R"({"version":7,"routes":[{"prefix":"/p/"}]})", problem));
    EXPECT_NE(problem.find("hostname"), std::string::npos);
    EXPECT_FALSE(platform::readConfiguration("{", problem));
    EXPECT_FALSE(platform::readConfiguration(R"({"routes":[]})", problem));
}

class runner_entry : public testing::Test { };

TEST_F(runner_entry, entriesOfOtherWriters_read_nameNoRunner)
{
    EXPECT_TRUE(platform::readRunner("i", R"({"service":"a","address":"10.0.0.1:80","state":"draining","slots":12})")->isDraining);
    for (const char* document : { "", "[]", "7", R"({"service":1,"address":"a:1","state":"ready","slots":1})", R"({"service":"a","address":"a:1","state":"odd","slots":1})",
             R"({"service":"a","address":"a","state":"ready","slots":1})", R"({"service":"a","address":"a:1","state":"ready"})", "\xff\xfe" })
        EXPECT_FALSE(platform::readRunner("i", document)) << document;
}

class request_fields : public testing::Test { };

// Guards against forwarding fields that only the entry may set, or that the caller's Connection field lists as hop-by-hop.
TEST_F(request_fields, callerForgesFields_forwarded_entryValuesOnly)
{
    http_request_message message;
    message.method = "GET";
    message.target = "/x";
    message.fields = { { "Host", "h" }, { "Attempt-Id", "a1" }, { "tenant", "other" }, { "Expect-Instance", "i9" }, { "Urgency", "0" },
        { "Connection", "close, X-Hidden" }, { "X-Hidden", "1" }, { "X-Kept", "2" }, { "authorization", "bearer k" } };
    const proxied_request request = platform::readRequest(std::move(message));
    EXPECT_EQ(request.apiKey, "k");
    const std::string bytes = platform::encodeRunnerRequest(request, { runner_id("i1"), team_id("t"), milliseconds(500), "" });
    EXPECT_NE(bytes.find("Tenant: t\r\n"), std::string::npos);
    EXPECT_NE(bytes.find("Expect-Instance: i1\r\n"), std::string::npos);
    EXPECT_NE(bytes.find("Deadline-Ms: 500\r\n"), std::string::npos);
    EXPECT_NE(bytes.find("X-Kept: 2\r\n"), std::string::npos);
    for (const char* absent : { "other", "i9", "Urgency", "X-Hidden", "bearer" })
        EXPECT_EQ(bytes.find(absent), std::string::npos) << absent;
}

// Guards against taking the last part, which no other request shares, or a malformed list for shared parts.
TEST_F(request_fields, promptParts_read_allButTheLast)
{
    const auto partsOf = [](const std::string& list) {
        http_request_message message;
        message.fields = { { "prefix-hash", list } };
        return platform::readRequest(std::move(message)).promptParts;
    };
    EXPECT_EQ(partsOf("5c1e07a2:800, 91bd3f06:410,e4402b7d:250"), (std::vector { prompt_part_id(0x5c1e07a2), prompt_part_id(0x91bd3f06) }));
    EXPECT_TRUE(partsOf("5c1e07a2:800").empty());
    EXPECT_TRUE(partsOf(",:3,").empty());
    EXPECT_EQ(partsOf("not hexadecimal:1,x:2"), partsOf("not hexadecimal:7,y:2"));
    EXPECT_EQ(partsOf("ffffffffffffffffffff:1,x:2").size(), 1U);
}

TEST_F(request_fields, runnerResponse_read_statementsAndFramingSeparated)
{
    const runner_response_head head = platform::readResponseHead({ 503, { { "Attempt-Id", "a1" }, { "not-executed", "1" }, { "Content-Length", "3" }, { "Server-Seal", "s" }, { "X-A", "b" } } });
    EXPECT_TRUE(head.isNotExecuted);
    EXPECT_TRUE(head.isSigned);
    EXPECT_EQ(head.attemptId, "a1");
    EXPECT_EQ(head.forwardedHeaders.find("Content-Length"), std::string::npos);
    EXPECT_NE(head.forwardedHeaders.find("X-A: b\r\n"), std::string::npos);
}

// Guards against a success that counts as signed although its caller gets no signature, or two.
TEST_F(request_fields, runnerResponse_signatureNotForwardedOrTwice_unsigned)
{
    const auto isSigned = [](const std::vector<http_field>& fields) { return platform::readResponseHead({ 200, fields }).isSigned; };
    EXPECT_TRUE(isSigned({ { "Connection", "close" }, { "Server-Seal", "s" } }));
    EXPECT_FALSE(isSigned({ { "Connection", "close, server-seal" }, { "Server-Seal", "s" } }));
    EXPECT_FALSE(isSigned({ { "Server-Seal", "s" }, { "Server-Seal", "t" } }));
    EXPECT_EQ(platform::readResponseHead({ 200, { { "Connection", "Attempt-Id" }, { "Attempt-Id", "a1" } } }).attemptId, "");
}

// Guards against a malformed limit that stops all requests to a runner, or lifts its limit to infinity.
TEST_F(request_fields, runnerLimit_read_numbersOnly)
{
    const auto limitOf = [](const std::string& text) { return platform::readResponseHead({ 200, { { "server-limit", text } } }).requestsPerSecond; };
    EXPECT_EQ(limitOf("2.75"), 2.75);
    EXPECT_EQ(limitOf("0"), 0.0);
    for (const char* malformed : { "", "x", "2.5 a second", "-1", "nan", "inf", "1e999" })
        EXPECT_FALSE(limitOf(malformed)) << malformed;
    EXPECT_FALSE(platform::readResponseHead({ 200, {} }).requestsPerSecond);
}

class quarantine_row : public testing::Test { };

// Guards against a row that keeps a prompt part out for good, and against rows of other writers that stop an entry.
TEST_F(quarantine_row, written_read_sameAndBounded)
{
    const auto now = std::chrono::system_clock::now();
    prompt_part_evidence evidence;
    evidence.pool = pool_id("p");
    evidence.part = prompt_part_id(0xabc);
    evidence.position = 1;
    evidence.quarantineLeft = std::chrono::seconds(60);
    evidence.quarantineCount = 2;
    const auto read = platform::readQuarantine(platform::encodeQuarantine(evidence, now), now + std::chrono::seconds(10));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->pool, evidence.pool);
    EXPECT_EQ(read->part, evidence.part);
    EXPECT_EQ(read->quarantineCount, 2U);
    EXPECT_NEAR(std::chrono::duration<double>(read->quarantineLeft).count(), 50, 0.1);
    EXPECT_EQ(platform::readQuarantine(platform::encodeQuarantine(evidence, now), now + std::chrono::hours(1))->quarantineLeft, duration {});
    EXPECT_LE(platform::readQuarantine(R"({"pool":"p","part":"abc","until_ms":1e300})", now)->quarantineLeft, std::chrono::hours(2));
    for (const char* malformed : { "", "[]", "{}", R"({"pool":"p","part":"xyz","until_ms":1})", R"({"pool":1,"part":"abc","until_ms":"x"})" })
        EXPECT_FALSE(platform::readQuarantine(malformed, now)) << malformed;
}

class settings_file : public testing::Test {
protected:
    std::optional<platform::settings> read(const std::string& text)
    {
        const std::string path = testing::TempDir() + "sardinelb_settings_test.json";
        std::ofstream(path) << text;
        auto result = platform::readSettings(path, m_problem);
        std::remove(path.c_str());
        return result;
    }

    std::string m_problem;
};

TEST_F(settings_file, wholeFile_read_addressesAndBounds)
{
    const auto settings = read(R"({"node":"n","ip":"10.1.0.40","zone":"z","listen":{"front":"10.1.0.40:1","ready_addr":"10.1.0.40:2"},"port_range":[7340,7355],
        "platform":{"address":"10.200.1.7:8223"},"bounds":{"retry_ratio":0.2,"retry_slack":88,"retry_window_s":10,"grace_s":8},"later":{"unknown":1}})");
    ASSERT_TRUE(settings) << m_problem;
    EXPECT_EQ(settings->callerAddress, "10.1.0.40:1");
    EXPECT_EQ(settings->retries.slack, 88);
    EXPECT_EQ(settings->stopGrace, milliseconds(8000));
}

// Guards against starting without valid settings, and against error messages that do not name the file and the field.
TEST_F(settings_file, fieldMissingOrOfWrongType_read_errorNamesFileAndField)
{
    EXPECT_FALSE(read(R"({"node":"n","ip":"1.2.3.4","platform":{"address":"a:1"},"port_range":[1]})"));
    EXPECT_NE(m_problem.find("port_range"), std::string::npos);
    EXPECT_NE(m_problem.find("sardinelb_settings_test.json"), std::string::npos);
    EXPECT_FALSE(read(R"({"node":"n","ip":"1.2.3.4","port_range":[1,2]})"));
    EXPECT_NE(m_problem.find("platform.address"), std::string::npos);
    EXPECT_FALSE(read("nonsense"));
    EXPECT_FALSE(platform::readSettings("/nonexistent", m_problem));
}

}
