#include "state/change_log.h"

#include "state/memory_table.h"

#include <gtest/gtest.h>

namespace sardinelb {

namespace {

entity_update poolUpdate(const std::string& id, int wanted, std::uint64_t base)
{
    return { entity_kind::Pool, id, R"({"kind":"model","wanted_runners":)" + std::to_string(wanted) + "}",
        config_version(base) };
}

configuration_change changeBy(const std::string& author, std::vector<entity_update> updates)
{
    static int count = 0;
    return { config_version(), author, author + "-" + std::to_string(++count), std::move(updates) };
}

}

TEST(change_log, appendedChangeIsLoadedByAnotherReader)
{
    memory_table table;
    change_log writer(table.hooks());
    const auto committed = writer.append(changeBy("kim", { poolUpdate("a", 3, 0) }));
    ASSERT_TRUE(committed) << committed.error().detail;
    EXPECT_EQ(committed.value().version, config_version(1));
    change_log reader(table.hooks());
    const auto loaded = reader.load();
    ASSERT_TRUE(loaded) << loaded.error().detail;
    EXPECT_EQ(loaded.value().pools.at(pool_id("a")).wantedRunners, 3);
}

// Guards against a lost update: the second writer has read an older version of the pool.
TEST(change_log, staleUpdateIsAConflictThatNamesTheOtherChange)
{
    memory_table table;
    change_log first(table.hooks());
    change_log second(table.hooks());
    ASSERT_TRUE(first.append(changeBy("kim", { poolUpdate("a", 3, 0) })));
    const auto lost = second.append(changeBy("lee", { poolUpdate("a", 4, 0) }));
    ASSERT_FALSE(lost);
    EXPECT_EQ(lost.error().code, state_errc::Conflict);
    EXPECT_EQ(lost.error().subject, "pool \"a\"");
    EXPECT_NE(lost.error().detail.find("change 1 of \"kim\""), std::string::npos) << lost.error().detail;
}

// Guards against a second row for a change whose write took effect although the answer was lost.
TEST(change_log, lostAnswerCommitsOnce)
{
    memory_table table;
    int transactions = 0;
    change_log writer(table.hooks([&](table_operation operation) {
        const bool first = operation == table_operation::Transact && ++transactions == 1;
        return first ? table_fault::AnswerLost : table_fault::None;
    }));
    const auto committed = writer.append(changeBy("kim", { poolUpdate("a", 3, 0) }));
    ASSERT_TRUE(committed) << committed.error().detail;
    EXPECT_EQ(committed.value().version, config_version(1));
    EXPECT_EQ(table.rows().size(), 1U);
}

}
