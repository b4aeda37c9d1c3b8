#include "serving/prompt_quarantine.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <set>
#include <vector>

namespace sardinelb::test {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

using parts = std::vector<prompt_part_id>;

constexpr int ordinaryAnswers = 20;

const pool_id pool("p");

parts partsOf(std::initializer_list<std::uint64_t> ids)
{
    parts result;
    for (const std::uint64_t id : ids)
        result.emplace_back(id);
    return result;
}

runner_crash crashWith(std::uint64_t crash, const parts& ids)
{
    return { runner_process_id(crash), runner_id("r" + std::to_string(crash)), pool, ids };
}

}

class prompt_quarantine_decision : public testing::Test {
protected:
    // Answers of requests without a part of interest, as in ordinary service.
    void answerOthers()
    {
        for (int i = 0; i < ordinaryAnswers; ++i)
            m_quarantine.onAnswer(pool, partsOf({ 1, 1000 }), m_now);
    }

    void crash(std::uint64_t id, const parts& ids)
    {
        m_quarantine.onCrash(crashWith(id, ids), m_now);
    }

    bool isRejected(const parts& ids) const { return m_quarantine.quarantineLeft(pool, ids, m_now).has_value(); }

    time_point m_now { seconds(100) };
    prompt_quarantine m_quarantine { [] { return 0.0; } };
};

// Guards against rejecting requests that share all other parts with those that crash runners.
TEST_F(prompt_quarantine_decision, partOnTwoCrashedRunners_requests_onlyThoseWithItRejected)
{
    answerOthers();
    crash(1, partsOf({ 1, 66 }));
    EXPECT_FALSE(isRejected(partsOf({ 1, 66 })));
    crash(2, partsOf({ 1, 66 }));
    EXPECT_TRUE(isRejected(partsOf({ 1, 66 })));
    EXPECT_TRUE(isRejected(partsOf({ 2, 66, 3 })));
    EXPECT_FALSE(isRejected(partsOf({ 1, 67 })));
    EXPECT_FALSE(m_quarantine.quarantineLeft(pool_id("other"), partsOf({ 66 }), m_now));
}

// Guards against counting the requests on one runner as several crashes.
TEST_F(prompt_quarantine_decision, manyRequestsOnOneCrashedRunner_part_notRejected)
{
    answerOthers();
    for (int i = 0; i < 10; ++i)
        crash(1, partsOf({ 66 }));
    EXPECT_FALSE(isRejected(partsOf({ 66 })));
}

// Guards against rejecting a harmless part whose requests happened to wait on runners that ended.
TEST_F(prompt_quarantine_decision, partAnsweredBetweenCrashes_notRejected)
{
    answerOthers();
    for (std::uint64_t id = 1; id < 10; ++id) {
        crash(id, partsOf({ 7 }));
        m_now += seconds(1);
        m_quarantine.onAnswer(pool, partsOf({ 7 }), m_now);
        answerOthers();
    }
    EXPECT_FALSE(isRejected(partsOf({ 7 })));
}

// Guards against rejecting everything after runners have ended for another reason, as with a loss of power.
TEST_F(prompt_quarantine_decision, runnersAnswerNothing_manyCrash_noPartRejected)
{
    for (std::uint64_t id = 1; id < 20; ++id)
        crash(id, partsOf({ 1, 7 }));
    EXPECT_FALSE(isRejected(partsOf({ 1, 7 })));
    answerOthers();
    m_now += seconds(1);
    for (std::uint64_t id = 20; id < 40; ++id)
        crash(id, partsOf({ 1 }));
    EXPECT_FALSE(isRejected(partsOf({ 1 })));
}

// Guards against rejecting a common part because two runners ended at once with requests that have it.
TEST_F(prompt_quarantine_decision, commonPart_twoRunnersEndAtOnce_notRejected)
{
    m_quarantine.onAnswer(pool, partsOf({ 7 }), m_now);
    for (int i = 0; i < ordinaryAnswers; ++i)
        m_quarantine.onAnswer(pool, partsOf({ 8 }), m_now);
    crash(1, partsOf({ 7 }));
    crash(2, partsOf({ 7 }));
    EXPECT_FALSE(isRejected(partsOf({ 7 })));
}

// Guards against rejecting parts that waited on the same runners as the deadly one.
TEST_F(prompt_quarantine_decision, crashesExplainedByQuarantinedPart_otherParts_notRejected)
{
    answerOthers();
    crash(1, partsOf({ 7 }));
    crash(1, partsOf({ 66 }));
    crash(2, partsOf({ 66 }));
    crash(2, partsOf({ 7 }));
    crash(3, partsOf({ 7 }));
    crash(3, partsOf({ 66 }));
    EXPECT_TRUE(isRejected(partsOf({ 66 })) != isRejected(partsOf({ 7 })));
}

// Guards against taking the part that the deadly one always follows for the cause: sound requests share it.
TEST_F(prompt_quarantine_decision, partsThatAlwaysComeTogether_crash_laterOneRejected)
{
    answerOthers();
    crash(1, partsOf({ 5, 66 }));
    crash(2, partsOf({ 5, 66 }));
    EXPECT_TRUE(isRejected(partsOf({ 66 })));
    EXPECT_FALSE(isRejected(partsOf({ 5 })));
}

// Guards against a part that turns deadly after it was harmless.
TEST_F(prompt_quarantine_decision, partAnsweredBefore_threeCrashesSince_rejected)
{
    m_quarantine.onAnswer(pool, partsOf({ 66 }), m_now);
    m_now += seconds(1);
    answerOthers();
    crash(1, partsOf({ 66 }));
    crash(2, partsOf({ 66 }));
    crash(3, partsOf({ 66 }));
    EXPECT_TRUE(isRejected(partsOf({ 66 })));
}

// Guards against a quarantine for good, and against many crashes when it ends.
TEST_F(prompt_quarantine_decision, quarantineOver_oneRequestTried_crashRepeatsItForLonger)
{
    answerOthers();
    crash(1, partsOf({ 66 }));
    crash(2, partsOf({ 66 }));
    const duration first = *m_quarantine.quarantineLeft(pool, partsOf({ 66 }), m_now);
    m_now += first;
    EXPECT_FALSE(isRejected(partsOf({ 66 })));
    m_quarantine.onSent(pool, partsOf({ 66 }), m_now);
    EXPECT_TRUE(isRejected(partsOf({ 66 })));
    m_now += milliseconds(300);
    crash(3, partsOf({ 66 }));
    EXPECT_EQ(*m_quarantine.quarantineLeft(pool, partsOf({ 66 }), m_now), 2 * first);
}

TEST_F(prompt_quarantine_decision, quarantineOver_requestAnswered_partUsable)
{
    answerOthers();
    crash(1, partsOf({ 66 }));
    crash(2, partsOf({ 66 }));
    m_now += minutes(2);
    m_quarantine.onSent(pool, partsOf({ 66 }), m_now);
    m_quarantine.onAnswer(pool, partsOf({ 66 }), m_now);
    EXPECT_FALSE(isRejected(partsOf({ 66 })));
    crash(3, partsOf({ 66 }));
    EXPECT_FALSE(isRejected(partsOf({ 66 })));
}

// Guards against a repeat of a request that may have crashed its runner, and against giving up those that merely waited there.
TEST_F(prompt_quarantine_decision, partNeverAnswered_suspected_answeredOneNot)
{
    EXPECT_FALSE(m_quarantine.isSuspect(pool, partsOf({ 66 })));
    answerOthers();
    EXPECT_TRUE(m_quarantine.isSuspect(pool, partsOf({ 1, 66 })));
    EXPECT_FALSE(m_quarantine.isSuspect(pool, partsOf({ 1, 1000 })));
}

// Guards against heartbeats and memory that grow with the number of requests on a crashed runner.
TEST_F(prompt_quarantine_decision, thousandsOfPartsOnCrashedRunners_evidenceBounded)
{
    constexpr std::size_t maxSharedParts = 12;
    for (std::uint64_t id = 1; id < 5000; ++id)
        crash(id % 7, partsOf({ id, id + 1, id + 2 }));
    EXPECT_LE(m_quarantine.evidence(m_now).size(), maxSharedParts);
}

// Several entries that exchange their evidence, each with its own requests.
class prompt_quarantine_fleet : public testing::Test {
protected:
    static constexpr std::size_t entryCount = 5;

    void exchange(time_point now)
    {
        for (prompt_quarantine& from : m_entries) {
            for (prompt_quarantine& to : m_entries) {
                for (const prompt_part_evidence& told : &from == &to ? std::vector<prompt_part_evidence>() : from.evidence(now))
                    to.onEvidence(told, now);
            }
        }
    }

    bool isRejectedEverywhere(const parts& ids, time_point now) const
    {
        return std::all_of(m_entries.begin(), m_entries.end(), [&](const prompt_quarantine& entry) { return entry.quarantineLeft(pool, ids, now).has_value(); });
    }

    std::vector<prompt_quarantine> m_entries = std::vector<prompt_quarantine>(entryCount, prompt_quarantine([] { return 0.0; }));
};

// Guards against each entry waiting for the crashes that it has seen itself.
TEST_F(prompt_quarantine_fleet, crashesAtDifferentEntries_evidenceExchanged_rejectedEverywhere)
{
    const time_point now { seconds(100) };
    for (prompt_quarantine& entry : m_entries) {
        for (int i = 0; i < ordinaryAnswers; ++i)
            entry.onAnswer(pool, partsOf({ 1 }), now);
    }
    m_entries[0].onCrash(crashWith(1, partsOf({ 1, 66 })), now);
    exchange(now);
    m_entries[1].onCrash(crashWith(2, partsOf({ 1, 66 })), now + milliseconds(5));
    exchange(now + milliseconds(6));
    EXPECT_TRUE(isRejectedEverywhere(partsOf({ 66 }), now + milliseconds(6)));
    EXPECT_FALSE(m_entries[2].quarantineLeft(pool, partsOf({ 1 }), now + milliseconds(6)));
}

// Guards against a quarantine that goes on although another entry has got an answer.
TEST_F(prompt_quarantine_fleet, partAnsweredAtAnotherEntry_evidenceExchanged_usableEverywhere)
{
    time_point now { seconds(100) };
    for (int i = 0; i < ordinaryAnswers; ++i)
        m_entries[0].onAnswer(pool, partsOf({ 1 }), now);
    m_entries[0].onCrash(crashWith(1, partsOf({ 7 })), now);
    m_entries[0].onCrash(crashWith(2, partsOf({ 7 })), now);
    exchange(now);
    ASSERT_TRUE(isRejectedEverywhere(partsOf({ 7 }), now));
    now += seconds(1);
    m_entries[3].onAnswer(pool, partsOf({ 7 }), now);
    exchange(now);
    for (const prompt_quarantine& entry : m_entries)
        EXPECT_FALSE(entry.quarantineLeft(pool, partsOf({ 7 }), now));
}

// Replays traffic in which a part of the requests crashes runners, beside runners that end by themselves. Guards against crashes
// that go on, and against rejecting sound requests.
TEST_F(prompt_quarantine_fleet, deadlyPartAmongOrdinaryCrashes_fiftySeeds_fewCrashesAndSoundPartsUsable)
{
    constexpr std::uint64_t seeds = 50;
    constexpr std::size_t runners = 16;
    constexpr std::uint64_t deadly = 66;
    constexpr std::uint64_t soundParts = 40;
    constexpr int ticks = 6000;
    constexpr int startDelayTicks = 15;
    constexpr int restartTicks = 300;
    constexpr int maxDeadlyCrashes = 5;
    struct sent_request {
        std::size_t entry = 0;
        std::size_t runner = 0;
        parts ids;
        int beginsAt = 0;
    };
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        std::mt19937_64 random(seed);
        const auto pick = [&](std::uint64_t count) { return std::uniform_int_distribution<std::uint64_t>(0, count - 1)(random); };
        m_entries.assign(entryCount, prompt_quarantine([] { return 0.0; }));
        std::vector<int> downUntil(runners, 0);
        std::vector<sent_request> waiting;
        std::uint64_t crashes = 0;
        int deadlyCrashes = 0;
        int soundRejected = 0;
        const int deadlyFrom = static_cast<int>(pick(ticks / 2));
        for (int tick = 0; tick < ticks; ++tick) {
            const time_point now { milliseconds(10 * tick) };
            const auto crashRunner = [&](std::size_t runner) {
                downUntil[runner] = tick + restartTicks;
                ++crashes;
                for (const sent_request& request : waiting) {
                    if (request.runner == runner)
                        m_entries[request.entry].onCrash(crashWith(crashes, request.ids), now);
                }
                std::erase_if(waiting, [&](const sent_request& request) { return request.runner == runner; });
            };
            const bool isDeadly = tick >= deadlyFrom && pick(20) == 0;
            const parts ids = isDeadly ? partsOf({ 100 + pick(3), deadly }) : partsOf({ 100 + pick(3), 1000 + std::min(pick(soundParts), pick(soundParts)) });
            const std::size_t entry = pick(entryCount);
            const std::size_t runner = pick(runners);
            const bool isRejected = m_entries[entry].quarantineLeft(pool, ids, now).has_value();
            if (isRejected)
                soundRejected += isDeadly ? 0 : 1;
            else if (downUntil[runner] <= tick)
                waiting.push_back({ entry, runner, ids, tick + startDelayTicks });
            const std::vector<sent_request> before = waiting;
            for (const sent_request& request : before) {
                if (request.beginsAt != tick || downUntil[request.runner] > tick)
                    continue;
                const bool isEnded = std::find(request.ids.begin(), request.ids.end(), prompt_part_id(deadly)) != request.ids.end();
                if (!isEnded) {
                    m_entries[request.entry].onAnswer(pool, request.ids, now);
                    continue;
                }
                ++deadlyCrashes;
                crashRunner(request.runner);
            }
            std::erase_if(waiting, [&](const sent_request& request) { return request.beginsAt <= tick; });
            if (pick(400) == 0)
                crashRunner(pick(runners));
            exchange(now);
        }
        EXPECT_LE(deadlyCrashes, maxDeadlyCrashes) << "seed " << seed;
        EXPECT_LE(soundRejected, ticks / 100) << "seed " << seed;
    }
}

}
