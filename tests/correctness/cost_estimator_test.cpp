#include "coordination/queueing/cost_estimator.h"
#include "coordination/queueing/lru_map.h"
#include "coordination/queueing/token_usage.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace sardinelb {

namespace {

const model_id model("model");

token_usage usageOf(std::int64_t prompt, std::int64_t completion)
{
    return { token_count(prompt), token_count(completion) };
}

}

// Guards against estimates above the caller's bound, and against negative costs.
RC_GTEST_PROP(CostEstimator, AfterAnyUsageStaysWithinTheBound, ())
{
    cost_estimator estimator;
    const auto lengths = *rc::gen::container<std::vector<std::int64_t>>(rc::gen::inRange<std::int64_t>(0, 100000));
    const auto bound = *rc::gen::inRange<std::int64_t>(0, 5000);
    for (const std::int64_t length : lengths)
        estimator.observe(team_id("a"), model, byte_count(length), token_count(bound), usageOf(length / 4, length));
    const request_cost cost = estimator.estimate(team_id("a"), model, byte_count(4000), token_count(bound));
    RC_ASSERT(cost.completionTokens.value() <= bound);
    RC_ASSERT(cost.completionTokens.value() >= std::min<std::int64_t>(1, bound));
    RC_ASSERT(cost.promptTokens.value() >= 0);
}

// Guards against estimates that mix samples of different teams, models or classes of bounds.
TEST(CostEstimator, WithDifferentUsageTellsTeamsModelsAndBoundsApart)
{
    cost_estimator estimator;
    const byte_count size(400);
    for (int request = 0; request < 200; ++request) {
        estimator.observe(team_id("a"), model, size, token_count(1000), usageOf(100, 50));
        estimator.observe(team_id("b"), model, size, token_count(1000), usageOf(200, 800));
        estimator.observe(team_id("a"), model_id("other"), size, token_count(1000), usageOf(100, 300));
        estimator.observe(team_id("a"), model, size, token_count(50), usageOf(100, 10));
    }
    const auto tokens = [&](const char* team, const char* name, std::int64_t bound) {
        const request_cost cost = estimator.estimate(team_id(team), model_id(name), size, token_count(bound));
        return static_cast<double>(cost.completionTokens.value());
    };
    EXPECT_NEAR(tokens("a", "model", 1000), 50, 30);
    EXPECT_NEAR(tokens("b", "model", 1000), 800, 40);
    EXPECT_NEAR(tokens("a", "other", 1000), 300, 20);
    EXPECT_NEAR(tokens("a", "model", 50), 10, 3);
    // The estimate for a new team is the average of its model.
    EXPECT_GT(tokens("new", "model", 1000), 200);
    EXPECT_NEAR(
        static_cast<double>(estimator.estimate(team_id("b"), model, size, token_count(1000)).promptTokens.value()), 200,
        20);
}

// Guards against estimates that do not follow a change of the workload.
TEST(CostEstimator, WhenLengthsChangeFollowsThem)
{
    cost_estimator estimator;
    for (const std::int64_t length : { 100, 400 }) {
        for (int request = 0; request < 400; ++request)
            estimator.observe(team_id("a"), model, byte_count(400), token_count(1000), usageOf(100, length));
    }
    const request_cost cost = estimator.estimate(team_id("a"), model, byte_count(400), token_count(1000));
    EXPECT_NEAR(static_cast<double>(cost.completionTokens.value()), 400, 20);
}

// Guards against memory that grows with the number of teams, and against evicting entries in use.
TEST(LruMap, WhenFullEvictsTheLeastRecentlyUsedKey)
{
    lru_map<int, int> map(3);
    for (const int key : { 1, 2, 3 })
        map.touch(key) = 10 * key;
    map.touch(1);
    map.touch(4) = 40;
    EXPECT_EQ(map.size(), 3U);
    EXPECT_EQ(map.find(2), nullptr);
    EXPECT_EQ(*map.find(1), 10);
    map.eraseIf([](int& value) { return value >= 30; });
    map.erase(7);
    EXPECT_EQ(map.size(), 1U);
    EXPECT_EQ(map.find(4), nullptr);
}

}
