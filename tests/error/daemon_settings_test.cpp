#include "daemon/daemon_settings.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace sardinelb {

namespace {

using nlohmann::json;

json entrySettings()
{
    return { { "id", "entry-0" }, { "role", "entry" }, { "availability_zone", "naju-yard" },
        { "caller_address", "127.0.0.1:1" }, { "peer_address", "127.0.0.1:2" }, { "admin_address", "[::1]:3" },
        { "table_address", "127.0.0.1:4" }, { "cluster_key", "0123456789abcdef" },
        { "operator_key_sha256", std::string(64, 'a') },
        { "entries", { { "naju-yard", { { "entry-0", "127.0.0.1:2" } } } } } };
}

json agentSettings()
{
    json settings = entrySettings();
    settings.erase("caller_address");
    settings.update({ { "id", "assist-llm-0" }, { "role", "agent" }, { "runner_address", "127.0.0.1:5" },
        { "runner_kind", "service" }, { "runner_slots", 3 } });
    return settings;
}

// All faults, as printed for the operator.
std::vector<std::string> faultsOf(const std::string& text)
{
    std::vector<std::string> lines;
    const auto settings = parseDaemonSettings(text, "f.json");
    if (settings.has_value())
        return lines;
    for (const document_fault& fault : settings.error())
        lines.push_back(describe(fault));
    return lines;
}

std::vector<std::string> faultsWith(json settings, const std::string& field, const json& value)
{
    settings[field] = value;
    return faultsOf(settings.dump());
}

TEST(daemon_settings_test, entrySettingsAreRead)
{
    json text = entrySettings();
    text["table_timeout_ms"] = 1;
    text["drain_delay_ms"] = 0;
    const auto settings = parseDaemonSettings(text.dump(), "f.json");
    ASSERT_TRUE(settings.has_value());
    EXPECT_EQ(settings.value().role, daemon_role::Entry);
    EXPECT_EQ(settings.value().callerAddress.port, 1);
    EXPECT_EQ(settings.value().adminAddress.ip, "::1");
    EXPECT_EQ(settings.value().tableTimeout.count(), 1);
    EXPECT_EQ(settings.value().drainDelay.count(), 0);
    ASSERT_EQ(settings.value().entries.size(), 1U);
    EXPECT_EQ(settings.value().entries.front().zone.value(), "naju-yard");
}

TEST(daemon_settings_test, agentSettingsAreRead)
{
    const auto settings = parseDaemonSettings(agentSettings().dump(), "f.json");
    ASSERT_TRUE(settings.has_value());
    EXPECT_EQ(settings.value().role, daemon_role::Agent);
    EXPECT_EQ(settings.value().runnerKind, pool_kind::Service);
    EXPECT_EQ(settings.value().runnerSlots, 3U);
    EXPECT_EQ(settings.value().tableTimeout.count(), 2000);
}

// Guards against accepting an unusable value, and against an error message that does not name the field and the
// expected value.
TEST(daemon_settings_test, badValueIsNamedWithWhatWouldBeRight)
{
    struct bad_input {
        json settings;
        std::string field;
        json value;
        std::string message;
    };
    const std::string address = "expected an IP address and a port, as in 127.0.0.1:7100";
    const std::vector<bad_input> table {
        { entrySettings(), "id", "", "field \"id\": found \"\": expected a non-empty string" },
        { entrySettings(), "role", "proxy", "field \"role\": found \"proxy\": expected one of \"entry\", \"agent\"" },
        { entrySettings(), "caller_address", "localhost:1", "field \"caller_address\": found \"localhost:1\": " + address },
        { entrySettings(), "peer_address", "127.0.0.1", "field \"peer_address\": found \"127.0.0.1\": " + address },
        { entrySettings(), "admin_address", "127.0.0.1:65536",
            "field \"admin_address\": found \"127.0.0.1:65536\": " + address },
        { entrySettings(), "table_address", 7, "field \"table_address\": found 7: " + address },
        { entrySettings(), "table_timeout_ms", 0,
            "field \"table_timeout_ms\": found 0: expected a whole number of milliseconds from 1 to 60000" },
        { entrySettings(), "table_timeout_ms", 60001,
            "field \"table_timeout_ms\": found 60001: expected a whole number of milliseconds from 1 to 60000" },
        { entrySettings(), "drain_delay_ms", -1,
            "field \"drain_delay_ms\": found -1: expected a whole number of milliseconds from 0 to 600000" },
        { entrySettings(), "drain_delay_ms", 1.5,
            "field \"drain_delay_ms\": found 1.5: expected a whole number of milliseconds from 0 to 600000" },
        { entrySettings(), "memory_mb", 0, "field \"memory_mb\": found 0: expected a whole number from 1 to 16777216" },
        { entrySettings(), "max_descriptors", 255,
            "field \"max_descriptors\": found 255: expected a whole number from 256 to 1048576" },
        { entrySettings(), "cluster_key", "short", "field \"cluster_key\": found \"short\": expected at least 16 characters" },
        { entrySettings(), "operator_key_sha256", "AB",
            "field \"operator_key_sha256\": found \"AB\": expected a SHA-256 digest of 64 lower-case hexadecimal digits" },
        { entrySettings(), "entries", { { "z", 7 } },
            "field \"entries.z\": found 7: expected an object of entry names and peer addresses" },
        { entrySettings(), "entries", { { "z", { { "e", "x" } } } }, "field \"entries.z.e\": found \"x\": " + address },
        { agentSettings(), "runner_address", "x", "field \"runner_address\": found \"x\": " + address },
        { agentSettings(), "runner_kind", "gpu",
            "field \"runner_kind\": found \"gpu\": expected one of \"model\", \"service\"" },
        { agentSettings(), "runner_slots", 0, "field \"runner_slots\": found 0: expected a whole number from 1 to 1024" },
        { agentSettings(), "runner_slots", 1025,
            "field \"runner_slots\": found 1025: expected a whole number from 1 to 1024" },
    };
    for (const bad_input& bad : table)
        EXPECT_EQ(faultsWith(bad.settings, bad.field, bad.value), std::vector { "f.json: " + bad.message }) << bad.field;
}

TEST(daemon_settings_test, missingFieldIsNamed)
{
    for (const auto& settings : { entrySettings(), agentSettings() }) {
        for (const auto& [field, value] : settings.items()) {
            json without = settings;
            without.erase(field);
            const auto faults = faultsOf(without.dump());
            ASSERT_FALSE(faults.empty()) << field;
            EXPECT_NE(faults.front().find("field \"" + field + "\": missing"), std::string::npos) << faults.front();
        }
    }
}

// Guards against ignoring a misspelt field or one that the role does not use.
TEST(daemon_settings_test, unknownFieldIsAFault)
{
    EXPECT_EQ(faultsWith(entrySettings(), "drain_delay", 1).size(), 1U);
    EXPECT_EQ(faultsWith(entrySettings(), "runner_slots", 1).size(), 1U);
    EXPECT_EQ(faultsWith(agentSettings(), "drain_delay_ms", 1).size(), 1U);
}

TEST(daemon_settings_test, allFaultsAreListedAtOnce)
{
    json settings = entrySettings();
    settings["id"] = 7;
    settings["cluster_key"] = "short";
    settings["peer_address"] = "x";
    EXPECT_EQ(faultsOf(settings.dump()).size(), 3U);
}

TEST(daemon_settings_test, textThatIsNoDocumentIsAFault)
{
    for (const char* text : { "", "{", "[]", "7", "{\"id\":\"a\",\"id\":\"b\"}" })
        EXPECT_FALSE(faultsOf(text).empty()) << text;
}

}

}
