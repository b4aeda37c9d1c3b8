#include "tests/stand_ins/batch_scheduler.h"

#include <gtest/gtest.h>

namespace sardinelb::stand_ins {

namespace {

using std::chrono::milliseconds;
using submit_result = batch_scheduler::submit_result;

constexpr batch_settings twoSlots { .slots = 2,
    .tokenInterval = milliseconds(10),
    .promptTokensPerMillisecond = 1,
    .kvCapacity = 1000 };

generation_request request(const std::string& id, std::uint64_t maxTokens)
{
    generation_request result;
    result.id = id;
    // Four prompt tokens: a prefill of 4 ms at one token per millisecond.
    result.prompt = std::string(16, 'p');
    result.maxTokens = maxTokens;
    return result;
}

// Runs the scheduler in virtual time until no stream is left.
std::vector<generation_event> runToEnd(batch_scheduler& scheduler, time_point& now)
{
    auto events = scheduler.poll(now);
    while (const auto deadline = scheduler.nextDeadline()) {
        now = std::max(now, *deadline);
        const auto more = scheduler.poll(now);
        events.insert(events.end(), more.begin(), more.end());
    }
    return events;
}

std::vector<std::string> endOrder(const std::vector<generation_event>& events)
{
    std::vector<std::string> ids;
    for (const auto& event : events) {
        if (event.kind == generation_event_kind::Done)
            ids.push_back(event.id);
    }
    return ids;
}

}

// Guards against wrong token times, which would distort every measurement that uses the fake engine.
TEST(BatchScheduler, GeneratesTheFirstTokenAfterThePromptAndThenAtEveryInterval)
{
    batch_scheduler scheduler(twoSlots);
    time_point now {};
    scheduler.submit(request("a", 3));
    const auto events = runToEnd(scheduler, now);
    ASSERT_EQ(events.size(), 4U);
    EXPECT_EQ(now, time_point(milliseconds(4 + 10 + 10)));
    EXPECT_EQ(events[2].token, token_text(request("a", 3).prompt, 0).token(2));
    EXPECT_EQ(events[3].promptTokens, 4U);
    EXPECT_EQ(events[3].completionTokens, 3U);
}

// Guards against an engine that ignores priorities or fills slots out of order.
TEST(BatchScheduler, StartsWaitingStreamsByPriorityAndThenByAge)
{
    batch_scheduler scheduler(twoSlots);
    time_point now {};
    auto older = request("older", 1);
    auto newer = request("newer", 1);
    auto urgent = request("urgent", 1);
    older.priority = newer.priority = 1;
    scheduler.submit(request("long", 50));
    scheduler.submit(request("first", 2));
    scheduler.poll(now);
    scheduler.submit(older);
    scheduler.submit(newer);
    scheduler.submit(urgent);
    EXPECT_EQ(scheduler.load().waiting, 3U);
    const std::vector<std::string> expected = { "first", "urgent", "older", "newer", "long" };
    EXPECT_EQ(endOrder(runToEnd(scheduler, now)), expected);
}

// Guards against a stream that repeats or skips a token when it resumes.
TEST(BatchScheduler, ResumesAtTheGivenToken)
{
    batch_scheduler scheduler(twoSlots);
    time_point now {};
    auto resumed = request("a", 6);
    resumed.resumeFrom = 4;
    scheduler.submit(resumed);
    const auto events = runToEnd(scheduler, now);
    ASSERT_EQ(events.size(), 3U);
    EXPECT_EQ(events[0].index, 4U);
    EXPECT_EQ(events[0].token, token_text(resumed.prompt, 0).token(4));
    EXPECT_EQ(events[2].completionTokens, 2U);
}

// Guards against counting a request as started that was cancelled in the queue.
TEST(BatchScheduler, CountsOnlyStreamsThatLeaveTheQueue)
{
    batch_scheduler scheduler(twoSlots);
    for (const auto* id : { "a", "b", "c" })
        scheduler.submit(request(id, 5));
    EXPECT_EQ(scheduler.submit(request("c", 5)), submit_result::DuplicateId);
    scheduler.poll(time_point());
    EXPECT_TRUE(scheduler.cancel("c"));
    EXPECT_TRUE(scheduler.cancel("a"));
    EXPECT_FALSE(scheduler.cancel("a"));
    EXPECT_EQ(scheduler.startCounts().count("c"), 0U);
    EXPECT_EQ(scheduler.startCounts().at("a"), 1U);
    EXPECT_EQ(scheduler.load().running, 1U);
}

// Guards against a batch that exceeds the KV cache, and against accepting a stream that can never start.
TEST(BatchScheduler, KeepsStreamsWaitingThatTheKvCacheCannotHold)
{
    batch_scheduler scheduler(twoSlots);
    EXPECT_EQ(scheduler.submit(request("huge", 997)), submit_result::TooLarge);
    scheduler.submit(request("a", 600));
    scheduler.submit(request("b", 600));
    scheduler.poll(time_point());
    EXPECT_EQ(scheduler.load().running, 1U);
    scheduler.cancel("a");
    scheduler.poll(time_point());
    EXPECT_EQ(scheduler.startCounts().at("b"), 1U);
}

// Guards against a cache hit that doesn't shorten the prefill.
TEST(BatchScheduler, SkipsTheCachedPartOfAPrompt)
{
    batch_scheduler scheduler(twoSlots);
    time_point now {};
    auto warm = request("warm", 1);
    warm.prompt = std::string(prefix_cache::blockBytes, 'p');
    scheduler.submit(warm);
    runToEnd(scheduler, now);
    const auto start = now;
    warm.id = "again";
    scheduler.submit(warm);
    runToEnd(scheduler, now);
    EXPECT_EQ(now, start);
}

}
