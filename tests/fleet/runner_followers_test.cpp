#include "serving/runner_followers.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace sardinelb::test {

class runner_followers : public testing::Test {
protected:
    static std::vector<std::string> addresses(const std::string& network, std::size_t count)
    {
        std::vector<std::string> result;
        for (std::size_t i = 0; i < count; ++i)
            result.push_back(network + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":80");
        return result;
    }

    // Number of runners that each entry follows, and of followers of each runner.
    void count(std::size_t runnerCount, std::size_t entryCount)
    {
        byEntry.clear();
        byRunner.clear();
        const auto runners = addresses("10.2.", runnerCount);
        const auto entries = addresses("10.1.", entryCount);
        for (const auto& runner : runners)
            byRunner[runner] = 0;
        for (const auto& entry : entries) {
            const auto followed = followedRunners(runners, entry, entries);
            byEntry[entry] = followed.size();
            for (const auto& runner : followed)
                ++byRunner[runner];
        }
    }

    std::map<std::string, std::size_t> byEntry;
    std::map<std::string, std::size_t> byRunner;
};

// Guards against load reports and heartbeats that grow with the square of the fleet.
TEST_F(runner_followers, fleetsOfAnySize_everyEntry_followsABoundedNumber)
{
    for (const auto& [runners, entries] : { std::pair<std::size_t, std::size_t>(72, 15), { 192, 53 }, { 700, 200 } }) {
        count(runners, entries);
        for (const auto& [entry, followed] : byEntry)
            EXPECT_LE(followed, 70U) << runners;
    }
}

// Guards against a runner that no entry uses and whose agent no entry tells of its group.
TEST_F(runner_followers, fleetsOfAnySize_everyRunner_hasFollowers)
{
    for (const auto& [runners, entries] : { std::pair<std::size_t, std::size_t>(16, 4), { 72, 15 }, { 192, 53 }, { 192, 5 }, { 100, 1 } }) {
        count(runners, entries);
        for (const auto& [runner, followers] : byRunner)
            EXPECT_EQ(followers, followersPerRunner(runners, entries)) << runners;
        EXPECT_GE(followersPerRunner(runners, entries), std::min<std::size_t>(4, entries));
    }
}

TEST_F(runner_followers, smallFleet_everyEntry_followsAllRunners)
{
    count(16, 5);
    for (const auto& [entry, followed] : byEntry)
        EXPECT_EQ(followed, 16U);
}

// Guards against a change of most runners' followers, whose load the new ones do not know yet, whenever an entry fails.
TEST_F(runner_followers, entryFails_others_keepNineTenthsOfTheirRunners)
{
    const auto runners = addresses("10.2.", 192);
    auto entries = addresses("10.1.", 53);
    const auto before = followedRunners(runners, entries[0], entries);
    entries.pop_back();
    const auto after = followedRunners(runners, entries[0], entries);
    const auto kept = std::count_if(before.begin(), before.end(), [&](const std::string& runner) { return after.contains(runner); });
    EXPECT_GE(static_cast<double>(kept), 0.9 * static_cast<double>(before.size()));
}

}
