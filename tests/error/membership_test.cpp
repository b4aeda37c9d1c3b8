#include "coordination/membership/membership.h"

#include <gtest/gtest.h>

namespace sardinelb {

namespace {

using std::chrono::seconds;

listed_instance listed(const std::string& name, const std::string& zone = "naju-yard", bool isLeaving = false)
{
    return { daemon_id(name), availability_zone_id(zone), "127.0.0.1:7000", isLeaving };
}

// Drives a membership with a virtual clock.
class membership_test : public testing::Test {
protected:
    void readList(const std::vector<listed_instance>& list) { members.onInstanceListRead(list, now); }

    void receiveFrame(const std::string& name, std::uint64_t lifetime = 1, bool isDraining = false)
    {
        members.onFrameReceived(listed(name), incarnation(lifetime), isDraining, now);
    }

    // Advances the time in steps of a second, with a frame of each named daemon per step. Returns the number of probes.
    std::size_t advance(int count, const std::vector<std::string>& heardNames = {})
    {
        std::size_t probes = 0;
        for (int second = 0; second < count; ++second) {
            now += seconds(1);
            for (const std::string& name : heardNames)
                receiveFrame(name);
            probes += members.tick(now).size();
        }
        return probes;
    }

    member_state stateOf(const std::string& name) const
    {
        return members.stateOf(daemon_id(name)).value_or(member_state::Listed);
    }

    bool isKnown(const std::string& name) const { return members.stateOf(daemon_id(name)).has_value(); }

    time_point now { seconds(1000) };
    membership members { membership_settings(), 7 };
};

}

TEST_F(membership_test, silenceGoesThroughSlowToSilentAndBack)
{
    readList({ listed("a") });
    EXPECT_EQ(stateOf("a"), member_state::Listed);
    members.watch(daemon_id("a"), now);
    advance(2);
    EXPECT_EQ(stateOf("a"), member_state::Live);
    advance(2);
    EXPECT_EQ(stateOf("a"), member_state::Slow);
    advance(7);
    EXPECT_EQ(stateOf("a"), member_state::Silent);
    receiveFrame("a");
    EXPECT_EQ(stateOf("a"), member_state::Live);
}

// Guards against new work for a leaving daemon, if only the daemon or only the list reports that it is leaving.
TEST_F(membership_test, leavingTakesPrecedenceOverLiveFromEitherSource)
{
    readList({ listed("a"), listed("b") });
    members.watch(daemon_id("a"), now);
    receiveFrame("a", 1, true);
    readList({ listed("a"), listed("b", "naju-yard", true) });
    receiveFrame("b", 1, false);
    EXPECT_EQ(stateOf("a"), member_state::Leaving);
    EXPECT_EQ(stateOf("b"), member_state::Leaving);
    receiveFrame("a", 2, false);
    EXPECT_EQ(stateOf("a"), member_state::Live);
}

// Guards against a late frame of an earlier process that overrides the state of the current one.
TEST_F(membership_test, frameOfAnOlderIncarnationIsIgnored)
{
    readList({ listed("a") });
    members.watch(daemon_id("a"), now);
    receiveFrame("a", 2, true);
    receiveFrame("a", 1, false);
    EXPECT_EQ(stateOf("a"), member_state::Leaving);
}

TEST_F(membership_test, refusedConnectionMeansDeadUntilHeard)
{
    readList({ listed("a") });
    members.watch(daemon_id("a"), now);
    members.onConnectionRefused(daemon_id("a"), now);
    EXPECT_EQ(stateOf("a"), member_state::Dead);
    receiveFrame("a", 2);
    EXPECT_EQ(stateOf("a"), member_state::Live);
}

// Guards against a partition that is taken for many dead daemons, and against a dead daemon that is taken for a
// partition.
TEST_F(membership_test, silenceOfMostOfAZoneIsAPartition)
{
    const std::vector<std::string> partitioned { "c1", "c2", "c3", "c4" };
    std::vector<listed_instance> list { listed("d1"), listed("d2"), listed("d3") };
    for (const std::string& name : partitioned)
        list.push_back(listed(name, "mokpo-shed"));
    readList(list);
    for (const listed_instance& each : list)
        members.watch(each.daemon, now);
    members.onConnectionRefused(daemon_id("c4"), now);
    advance(11, { "d1", "d2" });
    EXPECT_EQ(stateOf("c1"), member_state::Partitioned);
    EXPECT_EQ(stateOf("c4"), member_state::Dead);
    EXPECT_EQ(stateOf("d3"), member_state::Silent);
    EXPECT_TRUE(members.isPartitioned(availability_zone_id("mokpo-shed")));
    EXPECT_FALSE(members.isPartitioned(availability_zone_id("naju-yard")));
}

// Guards against a daemon that is removed although the list still names it, and is never probed again.
TEST_F(membership_test, silenceAloneNeverRemovesADaemon)
{
    readList({ listed("a") });
    members.watch(daemon_id("a"), now);
    constexpr int hours = 24;
    for (int hour = 0; hour < hours; ++hour) {
        const std::size_t probes = advance(3600);
        ASSERT_TRUE(isKnown("a"));
        EXPECT_GE(probes, 3600U / 30U) << "probes became too rare";
    }
    receiveFrame("a");
    EXPECT_EQ(stateOf("a"), member_state::Live);
}

TEST_F(membership_test, unlistedDaemonStaysWhileItIsHeard)
{
    readList({ listed("a"), listed("b") });
    readList({});
    advance(300, { "a" });
    EXPECT_TRUE(isKnown("a"));
    EXPECT_FALSE(isKnown("b"));
}

// Guards against too many connection attempts while a region is partitioned for an hour.
TEST_F(membership_test, probesOfALostRegionStayBelowTheirBoundAndReachEveryDaemon)
{
    constexpr std::size_t regionSize = 300;
    std::vector<listed_instance> list;
    for (std::size_t index = 0; index < regionSize; ++index)
        list.push_back(listed("r" + std::to_string(index), "bilbao-a"));
    readList(list);
    for (const listed_instance& each : list)
        members.watch(each.daemon, now);
    advance(10);
    std::map<daemon_id, int> probed;
    constexpr int hour = 3600;
    for (int second = 0; second < hour; ++second) {
        now += seconds(1);
        const std::vector<member_view> probes = members.tick(now);
        ASSERT_LE(probes.size(), 5U);
        for (const member_view& each : probes)
            ++probed[each.daemon];
    }
    EXPECT_EQ(probed.size(), regionSize);
    // 300 daemons at 5 probes per second are reached once per minute.
    for (const auto& [daemon, count] : probed)
        EXPECT_GE(count, 50) << daemon.value();
}

// Guards against a restarted daemon that stays out of service because its previous process was draining.
TEST_F(membership_test, drainingDaemonThatFallsSilentIsProbed)
{
    readList({ listed("a") });
    members.watch(daemon_id("a"), now);
    receiveFrame("a", 1, true);
    EXPECT_GT(advance(30), 0U);
    EXPECT_EQ(stateOf("a"), member_state::Leaving);
}

}
