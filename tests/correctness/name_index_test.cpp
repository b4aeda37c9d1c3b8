#include "state/name_index.h"

#include <gtest/gtest.h>

namespace sardinelb {

namespace {

team namedTeam(const std::string& id, std::map<std::string, std::string> aliases)
{
    team result;
    result.id = team_id(id);
    result.aliases = std::move(aliases);
    return result;
}

void addRoute(configuration& target, const std::string& method, const std::string& prefix, const std::string& pool)
{
    service_route route { method + " " + prefix, method, prefix, pool_id(pool), false, {} };
    target.routes.emplace(route.id, route);
}

configuration threeSchemes()
{
    configuration result;
    result.namingSchemes = { "ledger", "grid", "badge" };
    result.teams.emplace(team_id("dispatch"),
        namedTeam("dispatch", { { "ledger", "T-9" }, { "grid", "dsp" }, { "badge", "dispatch" } }));
    result.teams.emplace(team_id("repair"), namedTeam("repair", { { "ledger", "T-10" } }));
    result.teams.at(team_id("repair")).keyDigests = { "ab", "cd" };
    result.instances.emplace(instance_id("box"), instance { instance_id("box"), { { "grid", "dsp" } }, {}, {} });
    result.models.emplace(model_id("assist"), model { model_id("assist"), { { "badge", "m1" } }, {}, {} });
    return result;
}

}

TEST(name_index, everySchemeAndTheCanonicalNameLeadToTheSameTeam)
{
    const auto index = name_index::build(threeSchemes());
    ASSERT_TRUE(index);
    for (const char* name : { "dispatch", "T-9", "dsp" })
        EXPECT_EQ(index.value().findTeam(name), team_id("dispatch")) << name;
    EXPECT_EQ(index.value().findTeam("m1"), std::nullopt);
    EXPECT_EQ(index.value().findModel("m1"), model_id("assist"));
    EXPECT_EQ(index.value().findInstance("dsp"), instance_id("box"));
    EXPECT_EQ(index.value().findTeamByKeyDigest("cd"), team_id("repair"));
    EXPECT_EQ(index.value().findTeamByKeyDigest("T-10"), std::nullopt);
}

// Guards against an ambiguous name that resolves to the team that was read last.
TEST(name_index, collisionNamesBothOwners)
{
    configuration colliding = threeSchemes();
    colliding.teams.at(team_id("repair")).aliases["badge"] = "dsp";
    const auto index = name_index::build(colliding);
    ASSERT_FALSE(index);
    EXPECT_EQ(index.error().code, state_errc::NameCollision);
    EXPECT_EQ(index.error().detail,
        "configuration: team \"repair\": field \"alias in badge\": found \"dsp\": already used by team \"dispatch\" "
        "(alias in grid)");
}

// Guards against one bearer key that authenticates two teams.
TEST(name_index, sharedKeyDigestIsACollision)
{
    configuration colliding = threeSchemes();
    colliding.teams.at(team_id("dispatch")).keyDigests = { "ab" };
    const auto index = name_index::build(colliding);
    ASSERT_FALSE(index);
    EXPECT_NE(index.error().detail.find("already used by team \"dispatch\" (key digest)"), std::string::npos);
}

TEST(name_index, longestPrefixOfTheMethodWins)
{
    configuration routed;
    addRoute(routed, "POST", "/", "root");
    addRoute(routed, "POST", "/bookings", "bookings");
    addRoute(routed, "POST", "/bookings/call-out", "call-out");
    addRoute(routed, "GET", "/bookings/call-out", "reader");
    const auto index = name_index::build(routed);
    ASSERT_TRUE(index);
    EXPECT_EQ(index.value().findRoute("POST", "/bookings/call-out/7")->pool, pool_id("call-out"));
    EXPECT_EQ(index.value().findRoute("POST", "/bookings/7")->pool, pool_id("bookings"));
    EXPECT_EQ(index.value().findRoute("POST", "/other")->pool, pool_id("root"));
    EXPECT_EQ(index.value().findRoute("GET", "/bookings/7"), nullptr);
}

}
