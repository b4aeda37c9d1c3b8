#include "state/change_json.h"
#include "state/change_log.h"
#include "state/memory_table.h"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

namespace sardinelb {

namespace {

constexpr std::array injectedFaults { table_fault::Down, table_fault::AnswerLost, table_fault::Delayed };
// More calls than one append makes, so that every step is reached.
constexpr int maxSteps = 12;

entity_update poolUpdate(const std::string& id, int wanted, config_version base)
{
    return { entity_kind::Pool, id, R"({"kind":"model","wanted_runners":)" + std::to_string(wanted) + "}", base };
}

// The naive log: rows in order, the last writer of an entity wins.
struct naive_log {
    std::map<std::string, int> wanted;
    std::map<std::string, config_version> changedAt;
    std::map<std::string, config_version> versionOfToken;
};

int wantedIn(const std::string& value) { return std::stoi(value.substr(value.rfind(':') + 1)); }

// Reads the rows one after another and checks what must hold for any log: no gap, no token twice, no lost update.
naive_log readNaively(const memory_table& table)
{
    naive_log log;
    std::uint64_t version = 0;
    for (const auto& [key, row] : table.rows()) {
        ++version;
        EXPECT_EQ(key, change_log::rowKey(config_version(version)));
        const auto change = changeFromText(row.value, key);
        if (!change) {
            ADD_FAILURE() << toStateError(change.error()).detail;
            return log;
        }
        EXPECT_TRUE(log.versionOfToken.emplace(change.value().token, version).second) << "a change is in two rows";
        for (const entity_update& update : change.value().updates) {
            EXPECT_EQ(update.base, log.changedAt[update.id]) << "lost update of " << update.id << " in " << key;
            log.changedAt[update.id] = config_version(version);
            if (update.value)
                log.wanted[update.id] = wantedIn(*update.value);
            else
                log.wanted.erase(update.id);
            if (!update.value)
                log.changedAt[update.id] = config_version();
        }
    }
    return log;
}

// Checks that the answer to an append agrees with the rows, also after delayed writes have landed.
void checkAnswer(
    memory_table& table, const std::string& token, const state_result<configuration_change>& answer, bool isQuiet)
{
    table.deliverDelayed();
    const naive_log log = readNaively(table);
    const auto found = log.versionOfToken.find(token);
    const bool isThere = found != log.versionOfToken.end();
    if (answer) {
        EXPECT_TRUE(isThere && found->second == answer.value().version) << "a committed change is not in its row";
    } else if (answer.error().code != state_errc::OutcomeUnknown) {
        EXPECT_FALSE(isThere) << "reported as not written: " << answer.error().detail;
    }
    if (isQuiet) {
        EXPECT_TRUE(answer) << "no fault was injected: " << answer.error().detail;
    }
}

// Checks that a new reader and the naive log agree.
void checkReader(memory_table& table, change_log_settings settings = {})
{
    const naive_log log = readNaively(table);
    change_log reader(table.hooks(), settings);
    const auto loaded = reader.load();
    ASSERT_TRUE(loaded) << loaded.error().detail;
    ASSERT_EQ(loaded.value().version.value(), table.rows().size());
    ASSERT_EQ(loaded.value().pools.size(), log.wanted.size());
    for (const auto& [id, value] : loaded.value().pools) {
        EXPECT_EQ(value.wantedRunners, log.wanted.at(id.value()));
        EXPECT_EQ(value.changedAt, log.changedAt.at(id.value()));
    }
}

// A table with one pool, and a writer that has read it and meets a fault or a rival at chosen steps.
class change_log_fault : public testing::Test {
protected:
    void SetUp() override { reset(); }

    void reset()
    {
        table = memory_table();
        rivals = 0;
        change_log first(table.hooks());
        ASSERT_TRUE(first.append({ {}, "init", "init", { poolUpdate("a", 1, {}) } }));
    }

    state_result<configuration_change> appendWith(const memory_table::fault_injector& choose)
    {
        change_log writer(table.hooks([&](table_operation operation) {
            return isLoaded ? choose(operation) : table_fault::None;
        }));
        isLoaded = false;
        EXPECT_TRUE(writer.load());
        isLoaded = true;
        return writer.append({ {}, "lee", "own", { poolUpdate("a", 2, config_version(1)) } });
    }

    void appendAsRival(const std::string& pool)
    {
        change_log rival(table.hooks());
        ASSERT_TRUE(rival.load());
        const auto held = rival.current().pools.find(pool_id(pool));
        const config_version base = held == rival.current().pools.end() ? config_version() : held->second.changedAt;
        const std::string token = "rival-" + std::to_string(++rivals);
        ASSERT_TRUE(rival.append({ {}, "kim", token, { poolUpdate(pool, 9, base) } }));
    }

    // Checks the answer to the writer and that no committed change of a rival has disappeared.
    void checkTruth(const state_result<configuration_change>& answer, bool isQuiet)
    {
        checkAnswer(table, "own", answer, isQuiet);
        const naive_log log = readNaively(table);
        for (int rival = 1; rival <= rivals; ++rival)
            EXPECT_TRUE(log.versionOfToken.contains("rival-" + std::to_string(rival))) << "a rival's change is gone";
        checkReader(table);
    }

    memory_table table;
    bool isLoaded = false;
    int rivals = 0;
};

}

// Guards against a second row, a lost update or a wrong answer when any two calls of an append fail.
TEST_F(change_log_fault, twoFaultsAtEveryPairOfStepsLeaveOneTruth)
{
    for (const table_fault one : injectedFaults) {
        for (const table_fault two : injectedFaults) {
            for (int first = 1; first <= maxSteps; ++first) {
                for (int second = first + 1; second <= maxSteps; ++second) {
                    reset();
                    int step = 0;
                    const auto answer = appendWith([&](table_operation) {
                        ++step;
                        return step == first ? one : step == second ? two
                                                                    : table_fault::None;
                    });
                    checkTruth(answer, step < first);
                }
            }
        }
    }
}

// Guards against a rival's change that is overwritten, or that makes the writer lose its own.
TEST_F(change_log_fault, rivalAtEveryStepWithAFaultAtEveryStep)
{
    for (const char* pool : { "a", "b" }) {
        for (const table_fault fault : injectedFaults) {
            for (int rivalStep = 1; rivalStep <= maxSteps; ++rivalStep) {
                for (int faultStep = 1; faultStep <= maxSteps; ++faultStep) {
                    reset();
                    int step = 0;
                    const auto answer = appendWith([&](table_operation) {
                        if (++step == rivalStep)
                            appendAsRival(pool);
                        return step == faultStep ? fault : table_fault::None;
                    });
                    checkTruth(answer, step < rivalStep && step < faultStep);
                }
            }
        }
    }
}

// Guards against an update of another entity that costs the operator the change.
TEST_F(change_log_fault, rivalOnAnotherEntityAtEveryStepIsRebased)
{
    for (int rivalStep = 1; rivalStep <= maxSteps; ++rivalStep) {
        reset();
        int step = 0;
        const auto answer = appendWith([&](table_operation) {
            if (++step == rivalStep)
                appendAsRival("b");
            return table_fault::None;
        });
        ASSERT_TRUE(answer) << answer.error().detail;
        checkTruth(answer, true);
    }
}

// Guards against a conflict that does not say whom to ask.
TEST_F(change_log_fault, conflictNamesTheChangeAndItsAuthor)
{
    appendAsRival("a");
    const auto answer = appendWith([](table_operation) { return table_fault::None; });
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().code, state_errc::Conflict);
    EXPECT_EQ(answer.error().subject, "pool \"a\"");
    EXPECT_EQ(answer.error().detail, "changed by change 2 of \"kim\" after change 1, which this change is based on");
}

TEST_F(change_log_fault, conflictWithARemovalNamesTheRemover)
{
    change_log remover(table.hooks());
    ASSERT_TRUE(remover.append({ {}, "kim", "t", { { entity_kind::Pool, "a", std::nullopt, config_version(1) } } }));
    appendAsRival("b");
    const auto answer = appendWith([](table_operation) { return table_fault::None; });
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().detail, "changed by change 2 of \"kim\" after change 1, which this change is based on");
}

// Guards against "not written" for a write that lands later.
TEST_F(change_log_fault, delayedWriteWithoutReadBackIsReportedAsUnknown)
{
    const auto answer = appendWith([&](table_operation operation) {
        if (operation == table_operation::Transact) {
            table.setDown(true);
            return table_fault::Delayed;
        }
        return table_fault::None;
    });
    ASSERT_FALSE(answer);
    // The table was down before the write arrived, so it surely had no effect.
    EXPECT_EQ(answer.error().code, state_errc::Unavailable);
    table.setDown(false);
    reset();
    bool isWritten = false;
    const auto unknown = appendWith([&](table_operation operation) {
        if (isWritten)
            return table_fault::Down;
        isWritten = operation == table_operation::Transact;
        return isWritten ? table_fault::Delayed : table_fault::None;
    });
    ASSERT_FALSE(unknown);
    EXPECT_EQ(unknown.error().code, state_errc::OutcomeUnknown);
    EXPECT_EQ(unknown.error().subject, change_log::rowKey(config_version(2)));
    EXPECT_NE(unknown.error().detail.find("\"own\""), std::string::npos);
}

namespace {

// Operators with random faults; any call of one may be interrupted by a whole append of another.
class operator_race {
public:
    explicit operator_race(int seed)
        : m_random(static_cast<std::uint64_t>(seed))
    {
        m_logs.reserve(operatorCount);
        for (int index = 0; index < operatorCount; ++index)
            m_logs.emplace_back(m_table.hooks([this](table_operation) { return interfere(); }), settings);
    }

    void run()
    {
        constexpr int rounds = 60;
        for (int round = 0; round < rounds; ++round)
            act(draw(operatorCount));
    }

    void check()
    {
        for (const auto& [token, answer] : m_answers)
            checkAnswer(m_table, token, answer, false);
        checkReader(m_table, settings);
        EXPECT_GT(m_table.rows().size(), 20U);
    }

private:
    static constexpr int operatorCount = 3;
    static constexpr change_log_settings settings { .snapshotInterval = 7, .readBatch = 3 };

    int draw(int below) { return std::uniform_int_distribution<int>(0, below - 1)(m_random); }

    table_fault interfere()
    {
        if (m_busy.size() < operatorCount && draw(6) == 0)
            act(draw(operatorCount));
        return draw(8) == 0 ? injectedFaults.at(static_cast<std::size_t>(draw(3))) : table_fault::None;
    }

    // Lets an operator that is not in the middle of a call change or remove a pool.
    void act(int which)
    {
        if (!m_busy.insert(which).second)
            return;
        change_log& log = m_logs[static_cast<std::size_t>(which)];
        if (draw(2) == 0)
            static_cast<void>(log.load());
        const std::string token = std::to_string(++m_changes);
        m_answers.emplace(token, log.append({ {}, "op", token, { randomUpdate(log.current()) } }));
        m_busy.erase(which);
    }

    entity_update randomUpdate(const configuration& known)
    {
        const std::string pool(1, static_cast<char>('a' + draw(4)));
        const auto held = known.pools.find(pool_id(pool));
        if (held == known.pools.end())
            return poolUpdate(pool, m_changes, config_version());
        entity_update update = poolUpdate(pool, m_changes, held->second.changedAt);
        if (draw(5) == 0)
            update.value.reset();
        return update;
    }

    std::mt19937_64 m_random;
    memory_table m_table;
    std::vector<change_log> m_logs;
    std::set<int> m_busy;
    int m_changes = 0;
    std::map<std::string, state_result<configuration_change>> m_answers;
};

}

// Differential test: random operators with random faults against the naive reading of the rows.
TEST(change_log_race, randomOperatorsAgreeWithTheNaiveLog)
{
    constexpr int seeds = 40;
    for (int seed = 1; seed <= seeds; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        operator_race race(seed);
        race.run();
        race.check();
    }
}

}
