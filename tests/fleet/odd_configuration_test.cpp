#include "platform/configuration_row.h"
#include "serving/serving_configuration.h"
#include "tests/fleet/entry_fixture.h"

#include <string>

namespace sardinelb::test {

using std::chrono::milliseconds;

namespace {

std::string replaced(std::string text, const std::string& old, const std::string& with)
{
    const std::size_t at = text.find(old);
    EXPECT_NE(at, std::string::npos) << old;
    return text.replace(at, old.size(), with);
}

}

// Desired states with numbers out of range or with unknown fields.
class odd_configuration : public entry_fixture {
protected:
    bool isReadable(const std::string& document)
    {
        m_problem.clear();
        return platform::readConfiguration(document, m_problem) != nullptr;
    }

    std::string m_problem;
};

// Guards against numbers that become other numbers, such as a time limit that has passed when the request arrives.
TEST_F(odd_configuration, numberOutOfRange_read_errorNamesTheField)
{
    const std::string good = R"({"version":7,"routes":[{"hostname":"h","prefix":"/p/","timeout_ms":1000,"target_latency_ms":100,"target_gap_ms":50,"priority":1,"attempts":2,
        "backends":[{"service":"a","weight":10}]}],"services":[{"name":"a","max_conns":9,"engine":{"slots":4,"stride":3,"step_ms":2.5,"expert_mb":17,"link_mbps":92}}],
        "tenants":[{"name":"t","api_keys":["k"],"priority":3}],"limits":{"max_header_bytes":4096,"max_body_bytes":10000,"header_timeout_ms":300,"idle_timeout_ms":2000}})";
    ASSERT_TRUE(isReadable(good)) << m_problem;
    EXPECT_TRUE(isReadable(replaced(good, R"("priority":3)", R"("priority":-3)"))) << m_problem;
    for (const char* field : { "version\":7", "timeout_ms\":1000", "target_latency_ms\":100", "target_gap_ms\":50", "priority\":1", "attempts\":2", "weight\":10", "max_conns\":9", "slots\":4", "stride\":3",
             "step_ms\":2.5", "expert_mb\":17", "link_mbps\":92", "priority\":3", "max_header_bytes\":4096", "max_body_bytes\":10000", "header_timeout_ms\":300", "idle_timeout_ms\":2000" }) {
        const std::string name = std::string(field).substr(0, std::string(field).find('"'));
        for (const char* odd : { "1e308", "1e400", "-1e30", "18446744073709551616" }) {
            EXPECT_FALSE(isReadable(replaced(good, field, name + "\":" + odd))) << name << " " << odd;
            EXPECT_NE(m_problem.find(name), std::string::npos) << m_problem;
        }
    }
}

// Guards against an entry that follows no later version because one had a version number beyond all others.
TEST_F(odd_configuration, versionBeyondAllOthers_thenNextVersion_followed)
{
    addRunner("r1", respondsWith(200, "ok"));
    startStore();
    startEntry();
    ASSERT_EQ(call(request("GET", "/look/x")).status, 200);
    const std::string good = m_configuration;
    m_configuration = replaced(good, R"("version":7)", R"("version":1e300)");
    ++m_revision;
    runFor(milliseconds(400));
    m_configuration = replaced(replaced(good, R"("version":7)", R"("version":8)"), "/look/", "/seek/");
    ++m_revision;
    runFor(milliseconds(400));
    EXPECT_EQ(call(request("GET", "/seek/x")).status, 200);
}

// Guards against a new field that stops an entry from following the operator.
TEST_F(odd_configuration, unknownFieldNestedDeeply_applied_ignored)
{
    const std::string deep = R"("later":)" + std::string(200, '[') + std::string(200, ']') + ",";
    EXPECT_TRUE(isReadable(replaced(defaultConfiguration(), R"("version")", deep + R"("version")"))) << m_problem;
}

// Guards against a process that ends while it reads a document.
TEST_F(odd_configuration, nestedThousandsDeep_read_unreadableOnly)
{
    for (const char open : { '[', '{' }) {
        std::string deep;
        for (int i = 0; i < 300000; ++i)
            deep += open == '{' ? R"({"a":)" : "[";
        EXPECT_FALSE(isReadable(deep));
        EXPECT_FALSE(isReadable(R"({"version":7,"routes":)" + deep));
    }
}

}
