#include "coordination/maps/map_rows.h"

#include <gtest/gtest.h>

namespace sardinelb {

// Guards against a malformed row that terminates the process, and against errors that do not name the malformed row.
TEST(MapRows, WithDamagedValueNamesTheKey)
{
    for (const std::string value : { "", "{", "{}", "[1]", R"({"version":1,"outcome":"maybe","first_step":1})" }) {
        const auto proposal = parseMapProposal("p", value);
        ASSERT_FALSE(proposal.has_value()) << value;
        EXPECT_EQ(proposal.error().code, coordination_errc::Invalid);
        EXPECT_EQ(proposal.error().subject, "p");
        const auto decision = parseMapDecision("d", value);
        ASSERT_FALSE(decision.has_value()) << value;
        EXPECT_EQ(decision.error().subject, "d");
        ASSERT_FALSE(parseMapRank("r", value).has_value()) << value;
    }
}

// Guards against mistaking a row of another kind, rank or group for a rank's registration row.
TEST(MapRows, WithKeyOfAnotherKindNameNoRank)
{
    const group_id group("g");
    EXPECT_EQ(parseMapRankKey(group, mapRankKey(group, rank_id(17))), rank_id(17));
    EXPECT_FALSE(parseMapRankKey(group, mapLeaseKey(group)));
    EXPECT_FALSE(parseMapRankKey(group, mapRankKey(group_id("h"), rank_id(17))));
    EXPECT_FALSE(parseMapRankKey(group, mapRankKey(group, rank_id(17)) + "x"));
}

}
