#include "coordination/entry/retry_policy.h"

#include "state/derived_limits.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <chrono>
#include <string>

namespace sardinelb {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr execution_outcome outcomes[] = { execution_outcome::NotRun, execution_outcome::Completed,
    execution_outcome::Failed, execution_outcome::Unknown };
constexpr refusal_reason refusals[] = { refusal_reason::None, refusal_reason::Draining, refusal_reason::QueueFull,
    refusal_reason::DeadlineUnreachable, refusal_reason::WrongIncarnation, refusal_reason::Duplicate,
    refusal_reason::Cancelled, refusal_reason::RunnerDown, refusal_reason::TeamShare };

failed_attempt failure(execution_outcome outcome, refusal_reason refusal = refusal_reason::None)
{
    failed_attempt failed;
    failed.attempt = { request_id("r"), 1 };
    failed.team = team_id("team");
    failed.outcome = outcome;
    failed.refusal = refusal;
    failed.answerBy = time_point(seconds(100));
    return failed;
}

derived_limits limitsWithRatio(double ratio)
{
    derived_limits limits;
    limits.retryRatio = ratio;
    return limits;
}

}

// Guards against sending a request that ends each runner that begins to answer it to one runner after the other.
TEST(RetryPolicy, RequestThatFailedTwiceBeforeItsAnswerBeganIsNotRetried)
{
    const auto verdictOf = [](std::uint32_t attempt, std::uint32_t failuresBeforeAnswer) {
        failed_attempt failed = failure(execution_outcome::Failed);
        failed.idempotent = true;
        failed.attempt.number = attempt;
        failed.failuresBeforeAnswer = failuresBeforeAnswer;
        return retry_policy(1).decide(failed, {}).verdict;
    };
    EXPECT_EQ(verdictOf(1, 1), retry_verdict::Retry);
    EXPECT_EQ(verdictOf(2, 2), retry_verdict::TooMany);
    // Attempts that did not run say nothing about the request.
    EXPECT_EQ(verdictOf(3, 1), retry_verdict::Retry);
}

// Guards against running a request twice that must run at most once.
TEST(RetryPolicy, OfWorkThatMayHaveRunRetriesOnlyIdempotentWork)
{
    for (const execution_outcome outcome : outcomes) {
        for (const refusal_reason refusal : refusals) {
            for (const bool isIdempotent : { false, true }) {
                retry_policy policy(1);
                failed_attempt failed = failure(outcome, refusal);
                failed.idempotent = isIdempotent;
                const bool isRetried = policy.decide(failed, {}).verdict == retry_verdict::Retry;
                const bool isOver = outcome == execution_outcome::Completed;
                EXPECT_EQ(isRetried, !isOver && (isIdempotent || outcome == execution_outcome::NotRun));
            }
        }
    }
}

// Guards against a retry storm: whatever fails, the number of retries is limited by the initial budgets, their bounds
// and the contributions of requests.
RC_GTEST_PROP(RetryPolicy, InAnyHistoryStaysWithinTheBudgets, (std::uint64_t seed))
{
    retry_policy policy(seed);
    const int teams = *rc::gen::inRange(1, 200);
    const int requests = *rc::gen::inRange(0, 500);
    for (int request = 0; request < requests; ++request)
        policy.onRequestAccepted(team_id(std::to_string(request % teams)), limitsWithRatio(0.1), {});
    int retries = 0;
    for (int request = 0; request < 2000; ++request) {
        failed_attempt failed = failure(execution_outcome::Failed);
        failed.idempotent = true;
        failed.team = team_id(std::to_string(request % teams));
        retries += policy.decide(failed, {}).verdict == retry_verdict::Retry ? 1 : 0;
    }
    RC_ASSERT(retries <= 10 + 0.1 * requests + 1e-6);
    RC_ASSERT(retries <= 50);
    RC_ASSERT(retries <= teams * 10);
    RC_ASSERT(retries >= 1);
}

// Guards against one team that exhausts the retries of all others.
TEST(RetryPolicy, OfOneFailingTeamLeavesBudgetForOthers)
{
    retry_policy policy(1);
    failed_attempt failed = failure(execution_outcome::NotRun);
    for (int request = 0; request < 100; ++request)
        policy.decide(failed, {});
    EXPECT_EQ(policy.decide(failed, {}).verdict, retry_verdict::BudgetSpent);
    failed.team = team_id("other");
    EXPECT_EQ(policy.decide(failed, {}).verdict, retry_verdict::Retry);
}

// Guards against attempts that cannot finish in time.
RC_GTEST_PROP(RetryPolicy, WithAnyDeadlineLeavesTimeForTheAttempt, (std::uint64_t seed))
{
    retry_policy policy(seed);
    failed_attempt failed = failure(execution_outcome::NotRun);
    failed.attempt.number = *rc::gen::inRange(1U, 4U);
    const duration left = milliseconds(*rc::gen::inRange(-100, 1000));
    failed.answerBy = time_point(seconds(5)) + left;
    const retry_decision decision = policy.decide(failed, time_point(seconds(5)));
    if (left < milliseconds(50)) {
        RC_ASSERT(decision.verdict == retry_verdict::TooLate);
        return;
    }
    RC_ASSERT(decision.verdict == retry_verdict::Retry);
    RC_ASSERT(decision.delay >= duration());
    RC_ASSERT(decision.delay * 2 <= left);
    RC_ASSERT(decision.delay <= milliseconds(20) * (1 << (failed.attempt.number - 1)));
}

// Guards against retrying requests together that failed together.
TEST(RetryPolicy, DelaysOfEqualFailuresDiffer)
{
    retry_policy policy(1);
    failed_attempt failed = failure(execution_outcome::NotRun);
    failed.attempt.number = 3;
    duration shortest = seconds(1);
    duration longest {};
    for (int request = 0; request < 10; ++request) {
        failed.team = team_id(std::to_string(request));
        const duration delay = policy.decide(failed, {}).delay;
        shortest = std::min(shortest, delay);
        longest = std::max(longest, delay);
    }
    EXPECT_GT(longest - shortest, milliseconds(20));
}

// Guards against a drain that fails requests: a refusal unrelated to load costs no budget and causes no delay.
TEST(RetryPolicy, AfterADrainGoesOnAtOnceUpToTheBoundOnAttempts)
{
    retry_policy policy(1);
    failed_attempt failed = failure(execution_outcome::NotRun, refusal_reason::Draining);
    for (int request = 0; request < 1000; ++request) {
        const retry_decision decision = policy.decide(failed, {});
        ASSERT_EQ(decision.verdict, retry_verdict::Retry);
        ASSERT_EQ(decision.delay, duration());
    }
    failed.attempt.number = 4;
    EXPECT_EQ(policy.decide(failed, {}).verdict, retry_verdict::TooMany);
}

// Guards against retries that multiply the submissions to full queues by four.
TEST(RetryPolicy, AfterFullQueuesGoesOnAtOnceWithinTheBudget)
{
    retry_policy policy(1);
    const failed_attempt failed = failure(execution_outcome::NotRun, refusal_reason::QueueFull);
    int retries = 0;
    while (policy.decide(failed, {}).verdict == retry_verdict::Retry)
        ++retries;
    EXPECT_EQ(retries, 4);
}

}
