#include "coordination/maps/map_planner.h"

#include <gtest/gtest.h>

#include <cmath>

namespace sardinelb {

namespace {

void expectInvalid(const map_plan_request& request, const std::string& subject)
{
    const auto plan = map_planner({}).plan(request);
    ASSERT_FALSE(plan.has_value()) << subject;
    EXPECT_EQ(plan.error().code, coordination_errc::Invalid);
    EXPECT_EQ(plan.error().subject, subject);
}

}

// Guards against accepting invalid input, and against errors that do not name the invalid field.
TEST(MapPlanner, WithUnusableInputNamesIt)
{
    map_plan_request usable;
    usable.popularity = { 1, 2, 3 };
    usable.speeds = { 1, 1 };
    ASSERT_TRUE(map_planner({}).plan(usable).has_value());

    map_plan_request request = usable;
    request.speeds.clear();
    expectInvalid(request, "group");
    request = usable;
    request.popularity.assign(5, 1);
    expectInvalid(request, "slots per rank");
    request = usable;
    request.speeds[1] = 0;
    expectInvalid(request, "speeds");
    request = usable;
    request.popularity[1] = std::nan("");
    expectInvalid(request, "popularity");
    request = usable;
    request.longTermPopularity = { 1 };
    expectInvalid(request, "long-term popularity");
    request = usable;
    request.current = std::make_shared<const expert_map>(expert_map { {}, { { { rank_id(0), 1 } } } });
    expectInvalid(request, "current map");
}

}
