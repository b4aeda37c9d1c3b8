#include "tests/stand_ins/cache_event_feed.h"
#include "tests/stand_ins/lagging_value.h"
#include "tests/stand_ins/model_registry.h"
#include "tests/stand_ins/transfer_pacer.h"

#include <gtest/gtest.h>

namespace sardinelb::stand_ins {

namespace {

using std::chrono::milliseconds;

time_point at(int ms)
{
    return time_point(milliseconds(ms));
}

}

// Guards against a simulated list or report without lag, which would hide faults in the code that reads it.
TEST(LaggingValue, ShowsAChangeOnlyAfterTheLag)
{
    lagging_value<int> value(milliseconds(10), 1);
    value.set(2, at(100));
    value.set(3, at(105));
    EXPECT_EQ(value.get(at(109)), 1);
    EXPECT_EQ(value.get(at(110)), 2);
    EXPECT_EQ(value.get(at(200)), 3);
}

// Guards against simulated cache events without the delay and the losses that readers must tolerate.
TEST(CacheEventFeed, DelaysEventsAndLeavesGaps)
{
    constexpr int events = 1000;
    cache_event_feed feed(milliseconds(10), 0.5, 1);
    for (int i = 0; i < events; ++i)
        feed.add({}, at(100));
    EXPECT_TRUE(feed.eventsAfter(0, at(109)).empty());
    const auto visible = feed.eventsAfter(0, at(110));
    EXPECT_GT(visible.size(), events / 4);
    EXPECT_LT(visible.size(), 3 * events / 4);
    EXPECT_EQ(feed.eventsAfter(visible.front().number, at(110)).size(), visible.size() - 1);
}

// Guards against an engine that executes orders from the previous holder of a lease.
TEST(ModelRegistry, RefusesStaleOrdersOnlyWhenItChecksFencing)
{
    const model_order current { model_order_kind::Load, "m", 5 };
    const model_order stale { model_order_kind::Unload, "m", 4 };
    model_registry checking(true, milliseconds(0));
    EXPECT_TRUE(checking.apply(current, at(0)));
    EXPECT_TRUE(checking.apply(current, at(0)));
    EXPECT_FALSE(checking.apply(stale, at(0)));
    EXPECT_EQ(checking.loaded(at(0)).size(), 1U);
    model_registry trusting(false, milliseconds(0));
    EXPECT_TRUE(trusting.apply(current, at(0)));
    EXPECT_TRUE(trusting.apply(stale, at(0)));
    EXPECT_EQ(trusting.highestFencingNumber(), 5U);
}

// Guards against a total rate that grows with the number of concurrent transfers.
TEST(TransferPacer, SharesOneRateAmongAllTransfers)
{
    transfer_pacer pacer(1000);
    EXPECT_EQ(pacer.reserve(100, at(0)), at(100));
    EXPECT_EQ(pacer.reserve(100, at(0)), at(200));
    EXPECT_EQ(pacer.reserve(100, at(500)), at(600));
}

}
