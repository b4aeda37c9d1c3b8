#include "expert_map/hold_observer.h"
#include "expert_map/order_statistics.h"

#include <gtest/gtest.h>

namespace sardinelb::test {

using std::chrono::milliseconds;

class hold_of_a_pass : public testing::Test {
protected:
    static rank_status statusAt(milliseconds now, std::uint64_t step, std::optional<step_number> held)
    {
        rank_status status;
        status.epoch = 1;
        status.step = step_number(step);
        status.held = held;
        status.receivedAt = time_point(now);
        return status;
    }

    hold_observer observer;
};

// Guards against a hold whose time is counted as waiting although the group has not reached the pass.
TEST_F(hold_of_a_pass, groupReachesThePassLater_released_countsOnlyTheTimeAtThePass)
{
    observer.onHoldOrdered(step_number(12));
    EXPECT_FALSE(observer.onStatus(statusAt(milliseconds(0), 10, step_number(12))));
    EXPECT_FALSE(observer.onStatus(statusAt(milliseconds(100), 11, step_number(12))));
    const auto ended = observer.onStatus(statusAt(milliseconds(250), 12, std::nullopt));
    ASSERT_TRUE(ended);
    EXPECT_TRUE(ended->isOwn);
    EXPECT_EQ(ended->held, milliseconds(250));
    EXPECT_EQ(ended->waited, milliseconds(150));
    EXPECT_EQ(ended->endedBy, pass_hold::end::GivenUp);
}

// Guards against a hold that is followed past the restart of its group, which clears all holds.
TEST_F(hold_of_a_pass, groupFormsAnew_reported_endsTheHold)
{
    observer.onStatus(statusAt(milliseconds(0), 10, step_number(12)));
    rank_status formed = statusAt(milliseconds(50), 0, std::nullopt);
    formed.epoch = 2;
    const auto ended = observer.onStatus(formed);
    ASSERT_TRUE(ended);
    EXPECT_FALSE(ended->isOwn);
    EXPECT_EQ(ended->endedBy, pass_hold::end::GroupReformed);
}

class outcomes_of_orders : public testing::Test {
protected:
    const map_order arm { map_order::kind::Arm, rank_id(2), 1, map_version(5), step_number(12), nullptr };
    order_statistics orders;
};

// Guards against late orders that are taken for lost ones, or lost ones that are never counted.
TEST_F(outcomes_of_orders, noAnswer_effectReportedOrNot_countsLateOrLost)
{
    orders.onSent(arm);
    orders.onResult(arm, map_order_result::Unanswered, time_point(milliseconds(100)));
    orders.onSent(arm);
    auto events = orders.takeEvents(time_point(milliseconds(100)));
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events[0].what, order_statistics::outcome::Repeated);

    rank_status status;
    status.rank = rank_id(2);
    status.epoch = 1;
    status.armed = map_version(5);
    orders.onStatus(status);
    events = orders.takeEvents(time_point(milliseconds(300)));
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events[0].what, order_statistics::outcome::Late);

    orders.onResult(arm, map_order_result::Unanswered, time_point(milliseconds(400)));
    events = orders.takeEvents(time_point(milliseconds(20000)));
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events[0].what, order_statistics::outcome::Lost);
}

}
