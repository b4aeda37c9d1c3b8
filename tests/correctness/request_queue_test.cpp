#include "coordination/queueing/request_queue.h"
#include "tests/correctness/queue_driver.h"

#include <gtest/gtest.h>

#include <chrono>
#include <deque>
#include <random>

namespace sardinelb {

namespace {

using namespace std::chrono_literals;
using phase = queue_driver::phase;

queue_settings settingsWith(std::uint32_t slots, std::uint32_t maxQueued = 256)
{
    queue_settings settings;
    settings.slots = slots;
    settings.maxQueued = maxQueued;
    return settings;
}

queued_request requestOf(const char* team, std::int64_t tokens, time_point answerBy)
{
    queued_request request;
    request.team = team_id(team);
    request.cost.completionTokens = token_count(tokens);
    request.answerBy = answerBy;
    request.dispatchBy = answerBy;
    request.preemptible = true;
    return request;
}

const time_point noDeadline { 24h };

// Finishes requests of 20 tokens, so that the queue classifies longer ones as long.
void finishShortWork(queue_driver& driver)
{
    for (int number = 10000; number < 10040; ++number) {
        driver.admit(number, requestOf("teacher", 20, noDeadline), 20);
        driver.runUntil(driver.now() + 500ms);
    }
}

struct history_shape {
    bool preemptible = true;
    // Offered load as a fraction of the capacity.
    double load = 1;
};

// Runs the queue with random requests, removals and actual lengths that differ from the expected ones. Returns the
// driver after all attempts have ended.
queue_driver randomHistory(std::uint64_t seed, history_shape shape)
{
    std::mt19937_64 random(seed);
    const auto below = [&](std::uint64_t bound) { return random() % bound; };
    const auto slots = static_cast<std::uint32_t>(1 + below(8));
    queue_driver driver(settingsWith(slots, static_cast<std::uint32_t>(4 + below(30))));
    for (int number = 0; number < 200; ++number) {
        const std::int64_t length = below(10) == 0 ? 500 : static_cast<std::int64_t>(1 + below(40));
        queued_request request = requestOf(below(3) == 0 ? "small" : "large", 20, driver.now() + 1s * below(20));
        request.dispatchBy = request.answerBy - 100ms * below(10);
        request.serviceClass = static_cast<service_class>(below(3));
        request.weight = request.team == team_id("small") ? 10 : 100;
        request.preemptible = shape.preemptible || below(2) == 0;
        driver.admit(number, request, length);
        if (below(8) == 0)
            driver.remove(static_cast<int>(below(static_cast<std::uint64_t>(number) + 1)));
        // The mean length of a request is 70 tokens.
        const double gap = 2 * 70 * 0.02 / slots / shape.load * static_cast<double>(below(1000)) / 1000;
        driver.runUntil(driver.now() + duration(static_cast<duration::rep>(gap * 1e6)));
    }
    driver.runUntil(driver.now() + 150s);
    return driver;
}

}

// Guards against lost or duplicate attempts, more running attempts than slots, late dispatches and endless polling. The
// driver checks every action against its own records.
TEST(RequestQueue, OnRandomHistoriesEndsEveryAttemptOnceAndInTime)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        const queue_driver driver = randomHistory(seed, { seed % 2 == 0, seed % 3 == 0 ? 3.0 : 0.8 });
        EXPECT_EQ(driver.count(phase::Over), driver.records().size()) << "seed " << seed;
        if (HasFailure())
            return;
    }
}

// Guards against idle slots while work is waiting.
TEST(RequestQueue, WithPausableWorkLeavesNoSlotFreeWhileWorkWaits)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        std::mt19937_64 random(seed);
        queue_driver driver(settingsWith(4));
        for (int number = 0; number < 150; ++number) {
            const std::int64_t length = random() % 8 == 0 ? 300 : 20;
            driver.admit(number, requestOf("team", 20, noDeadline), length);
            driver.runUntil(driver.now() + 20ms * (random() % 20));
            const std::size_t idle = driver.count(phase::Waiting) + driver.count(phase::Paused);
            ASSERT_TRUE(idle == 0 || driver.count(phase::Running) == 4) << "seed " << seed;
        }
    }
}

// Guards against short work that waits behind long work on a runner that supports preemption.
TEST(RequestQueue, WithAllSlotsHeldByLongWorkPausesOneForShortWork)
{
    queue_driver driver(settingsWith(4));
    finishShortWork(driver);
    for (int number = 0; number < 4; ++number)
        driver.admit(number, requestOf("long", 2000, noDeadline), 2000);
    EXPECT_EQ(driver.count(phase::Running), 4U);
    driver.admit(4, requestOf("short", 20, noDeadline), 20);
    EXPECT_EQ(driver.at(4).dispatchedAt, driver.now());
    EXPECT_EQ(driver.count(phase::Paused), 1U);
    driver.runUntil(driver.now() + 1s);
    EXPECT_EQ(driver.count(phase::Paused), 0U);
}

// Guards against short work that waits behind attempts that run much longer than expected.
TEST(RequestQueue, WithWorkThatRunsLongerThanExpectedPausesItForShortWork)
{
    queue_driver driver(settingsWith(2));
    finishShortWork(driver);
    driver.admit(0, requestOf("surprise", 20, noDeadline), 3000);
    driver.admit(1, requestOf("surprise", 20, noDeadline), 3000);
    driver.runUntil(driver.now() + 10s);
    driver.admit(2, requestOf("short", 20, noDeadline), 20);
    EXPECT_EQ(driver.at(2).dispatchedAt, driver.now());
}

// Guards against long work that occupies all slots of a runner without preemption.
TEST(RequestQueue, WithWorkThatCannotBePausedKeepsASlotForShortWork)
{
    queue_driver driver(settingsWith(4));
    finishShortWork(driver);
    for (int number = 0; number < 8; ++number) {
        queued_request request = requestOf("long", 2000, noDeadline);
        request.preemptible = false;
        driver.admit(number, request, 2000);
    }
    EXPECT_EQ(driver.count(phase::Running), 3U);
    driver.admit(8, requestOf("short", 20, noDeadline), 20);
    EXPECT_EQ(driver.at(8).dispatchedAt, driver.now());
    // The reserved slot is released after a time without short work.
    driver.runUntil(driver.now() + 12s);
    EXPECT_EQ(driver.count(phase::Running), 4U);
}

// Guards against starvation of long and batch work by a stream of short work that could fill all slots.
TEST(RequestQueue, UnderSaturationByShortWorkStartsAndFinishesLongWorkWithinABound)
{
    for (const std::uint32_t slots : { 1U, 4U, 8U }) {
        queue_driver driver(settingsWith(slots, 100000));
        finishShortWork(driver);
        driver.admit(0, requestOf("long", 400, noDeadline), 400);
        queued_request batch = requestOf("batch", 20, noDeadline);
        batch.serviceClass = service_class::Batch;
        const time_point begin = driver.now();
        driver.admit(1, batch, 20);
        for (int number = 2; driver.now() < begin + 80s; ++number) {
            driver.admit(number, requestOf("short", 20, noDeadline), 20);
            if (number % static_cast<int>(slots) == 0)
                driver.runUntil(driver.now() + 380ms);
        }
        // Maximum wait of 5 s for long and 30 s for batch work, one protected run of 2 s of the other, and a short
        // request.
        EXPECT_LE(driver.at(0).dispatchedAt.value_or(noDeadline), begin + 8s) << slots;
        EXPECT_LE(driver.at(1).dispatchedAt.value_or(noDeadline), begin + 33s) << slots;
        // 8 s of work in protected runs of 2 s, with waits of 5 s and a short request between them.
        EXPECT_LE(driver.at(0).finishedAt.value_or(noDeadline), begin + 40s) << slots;
    }
}

// Guards against late refusals: a request that cannot be finished in time must be refused while another runner can
// still take it.
TEST(RequestQueue, WithADeadlineThatCannotBeMetRefusesAtAdmission)
{
    queue_driver driver(settingsWith(1));
    finishShortWork(driver);
    // 100 tokens take 2 s.
    EXPECT_EQ(driver.admit(0, requestOf("a", 100, driver.now() + 3s), 100), refusal_reason::None);
    EXPECT_EQ(driver.admit(1, requestOf("a", 100, driver.now() + 1s), 100), refusal_reason::DeadlineUnreachable);
    EXPECT_EQ(driver.admit(2, requestOf("b", 100, driver.now() + 3s), 100), refusal_reason::DeadlineUnreachable);
    EXPECT_EQ(driver.admit(3, requestOf("c", 100, driver.now() + 5s), 100), refusal_reason::None);
    driver.runUntil(driver.now() + 5s);
    EXPECT_TRUE(driver.at(3).finishedAt.has_value());
}

// Guards against a queue that refuses everything because of a wrong initial estimate and thus never corrects it.
TEST(RequestQueue, WithARunnerFasterThanTheFirstEstimateTriesAndLearns)
{
    queue_settings settings = settingsWith(1);
    settings.tokenInterval = 2s;
    request_queue queue(settings);
    queued_request request = requestOf("a", 100, time_point(5s));
    for (std::uint32_t number = 1; number <= 2; ++number) {
        request.attempt = { request_id("r"), number };
        EXPECT_EQ(queue.admit(request, time_point(1s)), refusal_reason::None);
        EXPECT_EQ(queue.poll(time_point(1s)).size(), number == 1 ? 1U : 0U);
    }
    for (int token = 1; token <= 1000; ++token)
        queue.onAttemptProgress({ request_id("r"), 1 }, token_count(1), time_point(1s) + 1ms * token);
    EXPECT_LT(queue.tokenInterval(), 1s);
}

// Guards against a queue that refuses other work because it is full of batch work or of one team's work.
TEST(RequestQueue, WhenFullRefusesBatchWorkThenTeamsAboveTheirShare)
{
    queue_driver driver(settingsWith(1, 12));
    for (int number = 0; number < 9; ++number)
        driver.admit(number, requestOf("large", 50, noDeadline), 50);
    for (int number = 9; number < 13; ++number) {
        queued_request batch = requestOf("batch", 50, noDeadline);
        batch.serviceClass = service_class::Batch;
        driver.admit(number, batch, 50);
    }
    for (int number = 13; number < 17; ++number)
        EXPECT_EQ(driver.admit(number, requestOf("other", 50, noDeadline), 50), refusal_reason::None);
    for (int number = 9; number < 13; ++number)
        EXPECT_EQ(driver.at(number).refusal, refusal_reason::QueueFull);
    EXPECT_EQ(driver.admit(17, requestOf("small", 50, noDeadline), 50), refusal_reason::None);
    EXPECT_EQ(driver.at(8).refusal, refusal_reason::TeamShare);
    EXPECT_EQ(driver.admit(18, requestOf("large", 50, noDeadline), 50), refusal_reason::TeamShare);
}

// Guards against interactive work that waits behind earlier standard and batch work.
TEST(RequestQueue, WithWorkOfSeveralClassesStartsInteractiveWorkFirst)
{
    queue_driver driver(settingsWith(1));
    driver.admit(0, requestOf("running", 50, noDeadline), 50);
    // All requests are from one team, so that only the class differs.
    const service_class classes[] = { service_class::Batch, service_class::Standard, service_class::Interactive };
    for (int number = 1; number <= 3; ++number) {
        queued_request request = requestOf("running", 50, noDeadline);
        request.serviceClass = classes[number - 1];
        driver.admit(number, request, 50);
    }
    driver.runUntil(driver.now() + 10s);
    EXPECT_LT(driver.at(3).dispatchedAt, driver.at(2).dispatchedAt);
    EXPECT_LT(driver.at(2).dispatchedAt, driver.at(1).dispatchedAt);
}

// Guards against shares proportional to the number of requests instead of the weights from the contracts.
TEST(RequestQueue, WithTwoBackloggedTeamsServesThemByWeight)
{
    queue_driver driver(settingsWith(4, 60));
    std::map<team_id, std::int64_t> tokens;
    for (int number = 0; driver.now() < time_point(200s); ++number) {
        const bool isHeavy = number % 2 == 0;
        queued_request request = requestOf(isHeavy ? "heavy" : "light", 50, driver.now() + 20s);
        request.weight = isHeavy ? 300 : 100;
        driver.admit(number, request, 50);
        // One request of 1 s per 100 ms is 2.5 times the capacity of four slots.
        driver.runUntil(driver.now() + 100ms);
    }
    for (const auto& [id, kept] : driver.records())
        tokens[kept.request.team] += kept.finishedAt ? kept.generated : 0;
    const double ratio = static_cast<double>(tokens[team_id("heavy")]) / static_cast<double>(tokens[team_id("light")]);
    EXPECT_GT(ratio, 2.4);
    EXPECT_LT(ratio, 3.6);
}

// Guards against a forecast that relies on the configured token interval: a slow runner must refuse more.
TEST(RequestQueue, WithASlowRunnerLearnsTheTokenInterval)
{
    request_queue queue(settingsWith(1));
    queued_request request = requestOf("a", 4000, noDeadline);
    request.attempt = { request_id("r"), 1 };
    queue.admit(request, time_point(0s));
    queue.poll(time_point(0s));
    for (int token = 1; token <= 3000; ++token)
        queue.onAttemptProgress(request.attempt, token_count(1), time_point(60ms * token));
    EXPECT_NEAR(static_cast<double>(queue.tokenInterval().count()), 60000, 1000);
    request.attempt.number = 2;
    request.cost.completionTokens = token_count(100);
    request.answerBy = time_point(180s + 4s);
    EXPECT_EQ(queue.admit(request, time_point(180s)), refusal_reason::DeadlineUnreachable);
}

// Guards against scheduling that is worse than first come, first served: under overload, a FIFO queue that ignores
// deadlines must not answer more requests in time.
TEST(RequestQueue, UnderOverloadAnswersMoreInTimeThanAFifoQueue)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        std::mt19937_64 random(seed);
        queue_driver driver(settingsWith(4));
        std::deque<std::pair<time_point, std::int64_t>> fifoWaiting;
        std::vector<time_point> fifoFreeAt(4);
        std::size_t fifoInTime = 0;
        for (int number = 0; number < 400; ++number) {
            const auto length = static_cast<std::int64_t>(20 + random() % 60);
            // The FIFO queue uses the first slot that becomes free and ignores deadlines.
            const auto slot = std::min_element(fifoFreeAt.begin(), fifoFreeAt.end());
            *slot = std::max(*slot, driver.now()) + 20ms * length;
            fifoInTime += *slot <= driver.now() + 5s ? 1 : 0;
            driver.admit(number, requestOf("a", 50, driver.now() + 5s), length);
            driver.runUntil(driver.now() + 20ms * (random() % 11));
        }
        driver.runUntil(driver.now() + 10s);
        const auto inTime = static_cast<std::size_t>(std::count_if(
            driver.records().begin(), driver.records().end(), [](const auto& entry) {
                return entry.second.finishedAt && *entry.second.finishedAt <= entry.second.request.answerBy;
            }));
        EXPECT_GE(inTime, fifoInTime) << "seed " << seed;
    }
}

}
