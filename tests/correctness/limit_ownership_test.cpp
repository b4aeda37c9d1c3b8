#include "coordination/limits/limit_ownership.h"
#include "coordination/limits/limit_shard.h"
#include "coordination/membership/daemon_list_change.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <string>

namespace sardinelb {

namespace {

std::vector<daemon_id> daemons(int first, int count)
{
    std::vector<daemon_id> list;
    list.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index)
        list.emplace_back("entry-" + std::to_string(first + index));
    return list;
}

}

// Guards against ownership that depends on the order of the list of daemons.
RC_GTEST_PROP(LimitOwnership, WithTheSameDaemonsInAnotherOrderIsTheSame, (const std::string& team))
{
    std::vector<daemon_id> list = daemons(0, 20);
    const daemon_id owner = ownerOf(team_id(team), list);
    std::reverse(list.begin(), list.end());
    RC_ASSERT(ownerOf(team_id(team), list) == owner);
}

// Guards against an incremental check for a change of the owner that disagrees with the full computation.
RC_GTEST_PROP(LimitOwnership, AfterAnyChangeIsFoundByTheDifference, (const std::string& team))
{
    const limit_shard shard { team_id(team), *rc::gen::inRange(0U, 4U) };
    const std::vector<daemon_id> before = daemons(*rc::gen::inRange(0, 10), *rc::gen::inRange(1, 20));
    const std::vector<daemon_id> after = daemons(*rc::gen::inRange(0, 10), *rc::gen::inRange(1, 20));
    const daemon_id owner = ownerOf(shard, before);
    const bool isChanged = ownerOf(shard, after) != owner;
    RC_ASSERT(changesOwner(changeBetween(before, after), shard, owner) == isChanged);
}

// Guards against a hash that moves many teams, or assigns too many of them to one daemon, when another daemon fails.
TEST(LimitOwnership, WhenADaemonFailsMovesOnlyItsTeams)
{
    const std::vector<daemon_id> all = daemons(0, 50);
    const std::vector<daemon_id> rest = daemons(1, 49);
    std::map<daemon_id, int> teams;
    for (int index = 0; index < 5000; ++index) {
        const team_id team("team-" + std::to_string(index));
        const daemon_id owner = ownerOf(team, all);
        teams[owner] += 1;
        if (owner != all.front()) {
            EXPECT_EQ(ownerOf(team, rest), owner);
        }
    }
    // The mean is 100 teams per daemon; 150 is five standard deviations above it.
    for (const auto& [owner, count] : teams)
        EXPECT_LT(count, 150) << owner.value();
    EXPECT_EQ(teams.size(), all.size());
}

TEST(LimitOwnership, WithoutDaemonsIsEmpty)
{
    EXPECT_EQ(ownerOf(team_id("a"), {}), daemon_id());
}

}
