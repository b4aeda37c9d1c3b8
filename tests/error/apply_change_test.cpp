#include "state/apply_change.h"

#include "state/configuration_change.h"
#include "state/configuration_parser.h"

#include <gtest/gtest.h>

namespace sardinelb {

namespace {

// An invalid change and the error that it must give.
struct bad_change {
    const char* name;
    std::uint64_t version;
    std::vector<entity_update> updates;
    state_errc code;
    std::string subject;
    std::string detail;
};

void PrintTo(const bad_change& change, std::ostream* out) { *out << change.name; }

configuration startingPoint()
{
    auto parsed = parseConfiguration(R"({
        "naming_schemes": ["grid"],
        "pools": [{"id":"p","kind":"model","wanted_runners":1},{"id":"q","kind":"model","wanted_runners":1}],
        "instances": [{"id":"i","zone":"z","aliases":{"grid":"x"}}],
        "runners": [{"id":"r","pool":"p","instance":"i","zone":"z","agent_address":"127.0.0.1:1"}],
        "groups": [{"id":"g","pool":"p","ranks":["r"],"expert_count":2}] })",
        "f.json");
    EXPECT_TRUE(parsed);
    parsed.value().version = config_version(4);
    parsed.value().pools.at(pool_id("p")).changedAt = config_version(3);
    return parsed.value();
}

entity_update setting(entity_kind kind, const char* id, const char* value, std::uint64_t base = 0)
{
    return { kind, id, value, config_version(base) };
}

entity_update removal(entity_kind kind, const char* id, std::uint64_t base = 0)
{
    return { kind, id, std::nullopt, config_version(base) };
}

const char* const otherPool = R"({"kind":"model","wanted_runners":2})";

std::vector<bad_change> badChanges()
{
    return {
        { "gapInVersions", 6, { setting(entity_kind::Pool, "n", otherPool) }, state_errc::Invalid, "change 6",
            "expected change 5" },
        { "olderVersion", 4, { setting(entity_kind::Pool, "n", otherPool) }, state_errc::Invalid, "change 4",
            "expected change 5" },
        { "staleBase", 5, { setting(entity_kind::Pool, "p", otherPool, 2) }, state_errc::Conflict, "pool \"p\"",
            "it was last changed by change 3, but the author read it as of change 2" },
        { "createdMeanwhile", 5, { setting(entity_kind::Pool, "p", otherPool) }, state_errc::Conflict, "pool \"p\"",
            "it was last changed by change 3, but the author read it as of change 0" },
        { "removedMeanwhile", 5, { setting(entity_kind::Pool, "n", otherPool, 2) }, state_errc::Conflict, "pool \"n\"",
            "it was removed, but the author read it as of change 2" },
        { "removalOfUnknown", 5, { removal(entity_kind::Team, "n") }, state_errc::NotFound, "team \"n\"",
            "it cannot be removed; it is not configured" },
        { "sameEntityTwice", 5,
            { setting(entity_kind::Pool, "n", otherPool), setting(entity_kind::Pool, "n", otherPool) },
            state_errc::Invalid, "pool \"n\"", "expected one update per entity" },
        { "badField", 5, { setting(entity_kind::Pool, "n", R"({"kind":"model","wanted_runners":"2"})") },
            state_errc::Invalid, "change 5: pool \"n\"",
            "change 5: pool \"n\": field \"wanted_runners\": found \"2\": expected a whole number from 0 to 100000" },
        { "poolInUse", 5, { removal(entity_kind::Pool, "p", 3) }, state_errc::Invalid, "change 5: runner \"r\"",
            "change 5: runner \"r\": field \"pool\": found \"p\": expected a configured pool\n"
            "change 5: rank_group \"g\": field \"pool\": found \"p\": expected a configured pool" },
        { "schemeInUse", 5, { removal(entity_kind::NamingScheme, "grid") }, state_errc::Invalid,
            "change 5: instance \"i\"",
            "change 5: instance \"i\": field \"aliases\": found \"grid\": expected a configured naming scheme" },
        { "runnerLeavesPoolOfGroup", 5,
            { setting(entity_kind::Runner, "r",
                R"({"pool":"q","instance":"i","zone":"z","agent_address":"127.0.0.1:1"})") },
            state_errc::Invalid, "change 5: rank_group \"g\"",
            "change 5: rank_group \"g\": field \"ranks\": found \"r\": expected a runner of pool \"p\"" },
        { "aliasCollision", 5,
            { setting(entity_kind::Instance, "j", R"({"zone":"z","aliases":{"grid":"i"}})") },
            state_errc::NameCollision, "change 5: instance \"j\"",
            "change 5: instance \"j\": field \"alias in grid\": found \"i\": already used by instance \"i\" "
            "(canonical name)" },
    };
}

class bad_change_test : public testing::TestWithParam<bad_change> { };

}

// Guards against a change that leaves a contradiction or overwrites an update that its author has not seen.
TEST_P(bad_change_test, isRefusedWithItsReason)
{
    const bad_change& bad = GetParam();
    const auto applied
        = applyChange(startingPoint(), { config_version(bad.version), "kim", "t", bad.updates });
    ASSERT_FALSE(applied);
    EXPECT_EQ(applied.error().code, bad.code);
    EXPECT_EQ(applied.error().subject, bad.subject);
    EXPECT_EQ(applied.error().detail, bad.detail);
}

INSTANTIATE_TEST_SUITE_P(apply_change, bad_change_test, testing::ValuesIn(badChanges()),
    [](const auto& tested) { return tested.param.name; });

// Guards against a partially applied change: the second update is invalid, so the first one must not be applied.
TEST(apply_change, failedCommittedChangeLeavesTheConfigurationAsItWas)
{
    configuration target = startingPoint();
    const std::string before = documentOf(target);
    const auto applied = applyCommittedChange(target,
        { config_version(5), "kim", "t",
            { setting(entity_kind::Pool, "n", otherPool), setting(entity_kind::Pool, "m", "{}") } });
    ASSERT_FALSE(applied);
    EXPECT_EQ(documentOf(target), before);
    EXPECT_EQ(target.version, config_version(4));
}

// Guards against a dependency on the order of updates: the runner comes before its pool.
TEST(apply_change, updatesOfOneChangeMayReferToEachOther)
{
    const auto applied = applyChange(startingPoint(),
        { config_version(5), "kim", "t",
            { setting(entity_kind::Runner, "s",
                  R"({"pool":"n","instance":"i","zone":"z","agent_address":"127.0.0.1:2"})"),
                setting(entity_kind::Pool, "n", otherPool) } });
    ASSERT_TRUE(applied) << applied.error().detail;
    EXPECT_EQ(applied.value().version, config_version(5));
    EXPECT_EQ(applied.value().pools.at(pool_id("n")).changedAt, config_version(5));
}

}
