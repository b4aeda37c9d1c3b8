#include "serving/demand_share.h"

#include <gtest/gtest.h>

#include <string>

namespace sardinelb::test {

using std::chrono::milliseconds;

class entry_share : public testing::Test {
protected:
    // Half a second in which this many requests arrive.
    double halfSecond(int arrivals)
    {
        for (int i = 0; i < arrivals; ++i)
            share.onArrival();
        now += milliseconds(500);
        return share.update(now);
    }

    demand_share share;
    time_point now;
};

// Guards against equal shares, with which the busiest entry rejects requests while others leave their part unused.
TEST_F(entry_share, callersSpreadUnevenly_shareFollowsTheArrivals)
{
    for (int i = 0; i < 8; ++i)
        halfSecond(15);
    share.onPeer("10.0.0.2", 10);
    share.onPeer("10.0.0.3", 20);
    EXPECT_NEAR(share.share(), 0.1 / 3 + 0.9 / 2, 0.01);
}

// Guards against shares that stay behind for long when callers move to another entry.
TEST_F(entry_share, callersMoveHere_withinTwoSeconds_mostOfTheShareIsHere)
{
    share.onPeer("10.0.0.2", 40);
    halfSecond(0);
    share.onPeer("10.0.0.2", 0);
    for (int i = 0; i < 4; ++i)
        halfSecond(20);
    EXPECT_GE(share.share(), 0.9);
}

TEST_F(entry_share, nothingArrives_equalShares)
{
    share.onPeer("10.0.0.2", 0);
    halfSecond(0);
    EXPECT_DOUBLE_EQ(share.share(), 0.5);
}

// Guards against a share of nothing for an entry that has just started.
TEST_F(entry_share, noArrivalsHere_othersBusy_shareIsNotZero)
{
    for (int i = 0; i < 3; ++i)
        share.onPeer("10.0.0." + std::to_string(i), 100);
    halfSecond(0);
    EXPECT_GT(share.share(), 0.02);
}

}
