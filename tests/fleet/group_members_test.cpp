#include "fleet/group_members.h"

#include <gtest/gtest.h>

namespace sardinelb::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

class group_members_view : public testing::Test {
protected:
    void hearOf(std::initializer_list<std::uint32_t> ranks)
    {
        for (const std::uint32_t rank : ranks)
            m_members.onCandidate(rank_id(rank), addressOf(rank), {}, m_now);
    }

    static std::string addressOf(std::uint32_t rank) { return "10.0.0." + std::to_string(rank) + ":80"; }

    time_point m_now { seconds(100) };
    group_members m_members;
};

// Guards against two coordinators: an agent that knows of no other rank, or of a lower one that still reports, must not act.
TEST_F(group_members_view, lowerRankReports_standby_doesNotCoordinate)
{
    EXPECT_FALSE(m_members.canCoordinate(rank_id(0), m_now));
    hearOf({ 0, 1, 2 });
    EXPECT_TRUE(m_members.canCoordinate(rank_id(0), m_now));
    EXPECT_FALSE(m_members.canCoordinate(rank_id(1), m_now)) << "rank 0 has not been silent yet";
    m_members.startSilenceTimeout(rank_id(1), m_now);
    EXPECT_FALSE(m_members.canCoordinate(rank_id(1), m_now + milliseconds(500)));
    EXPECT_TRUE(m_members.canCoordinate(rank_id(1), m_now + milliseconds(501)));
    m_members.onReport(rank_id(0), "", availability_zone_id("a"), m_now + milliseconds(502));
    EXPECT_FALSE(m_members.canCoordinate(rank_id(1), m_now + milliseconds(503)));
    EXPECT_FALSE(m_members.canCoordinate(rank_id(2), m_now + seconds(2))) << "only the two lowest ranks are candidates";
}

// Guards against a group that nobody coordinates after its two lowest ranks are gone.
TEST_F(group_members_view, lowestRanksNoLongerHeardOf_nextRank_becomesCandidate)
{
    hearOf({ 0, 1, 2 });
    EXPECT_FALSE(m_members.isCandidate(rank_id(2)));
    m_now += seconds(3);
    hearOf({ 2, 3 });
    m_members.removeSilentCandidates(m_now);
    EXPECT_EQ(m_members.coordinatorCandidates(rank_id(2)), (std::vector { rank_id(2), rank_id(3) }));
    EXPECT_EQ(m_members.addressOf(rank_id(0)), addressOf(0)) << "the address of a silent rank is kept";
}

// Guards against old news of a rank that makes it look silent.
TEST_F(group_members_view, olderNewsArrivesLater_candidate_kept)
{
    hearOf({ 1 });
    m_members.onCandidate(rank_id(1), addressOf(1), seconds(2), m_now);
    m_members.removeSilentCandidates(m_now + milliseconds(2400));
    EXPECT_TRUE(m_members.isCandidate(rank_id(1)));
    EXPECT_EQ(m_members.coordinatorCandidates(rank_id(5)), (std::vector { rank_id(1), rank_id(5) }));
}

TEST_F(group_members_view, ranksOfTwoZones_orderedByZone)
{
    m_members.onReport(rank_id(2), addressOf(2), availability_zone_id("a"), m_now);
    m_members.onReport(rank_id(1), addressOf(1), availability_zone_id("b"), m_now);
    EXPECT_EQ(m_members.ranksByZone({ rank_id(0), availability_zone_id("b") }), (std::vector { rank_id(2), rank_id(0), rank_id(1) }));
    EXPECT_TRUE(m_members.isReporting(rank_id(2), m_now + seconds(1)));
    EXPECT_FALSE(m_members.isReporting(rank_id(2), m_now + milliseconds(1001)));
}

}
