#include "tests/stand_ins/table_store.h"

#include "state/table_transaction.h"

#include <gtest/gtest.h>

namespace sardinelb::stand_ins {

namespace {

table_transaction insertion(const std::string& key, const std::string& value)
{
    return { { { key, row_revision(0) } }, { { key, value } }, {} };
}

}

// Guards against two writers that both succeed with a conditional insert.
TEST(TableStore, RejectsASecondInsertAndReturnsTheExistingRow)
{
    table_store store;
    const auto first = store.transact(insertion("k", "one"));
    const auto second = store.transact(insertion("k", "two"));
    EXPECT_FALSE(first.failed);
    ASSERT_TRUE(second.failed);
    EXPECT_EQ(second.failed->value, "one");
    EXPECT_EQ(second.failed->revision, first.revision);
}

// Guards against a transaction that is partly applied although a condition fails.
TEST(TableStore, WithAFailedConditionWritesNothing)
{
    table_store store;
    store.transact(insertion("old", "value"));
    const auto result = store.transact({ { { "absent", row_revision(5) } }, { { "new", "value" } }, { "old" } });
    ASSERT_TRUE(result.failed);
    EXPECT_EQ(result.failed->revision, row_revision(0));
    EXPECT_FALSE(store.row("new"));
    EXPECT_TRUE(store.row("old"));
}

// Guards against a row that is deleted and rewritten with a revision that matches a condition on the old row.
TEST(TableStore, GivesARewrittenRowAHigherRevision)
{
    table_store store;
    const auto first = store.transact(insertion("k", "v")).revision;
    store.transact({ {}, {}, { "k" } });
    EXPECT_GT(store.transact(insertion("k", "v")).revision, first);
}

TEST(TableStore, ReturnsARangeInKeyOrderWithoutItsUpperBound)
{
    table_store store;
    for (const auto* key : { "c", "a", "b", "d" })
        store.transact(insertion(key, ""));
    const auto rows = store.range("a", "d", 10);
    ASSERT_EQ(rows.size(), 3U);
    EXPECT_EQ(rows.front().key, "a");
    EXPECT_EQ(rows.back().key, "c");
    EXPECT_EQ(store.range("a", "d", 2).size(), 2U);
}

}
