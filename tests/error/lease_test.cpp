#include "coordination/leases/lease.h"

#include "coordination/leases/lease_row.h"
#include "state/memory_table.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <utility>

namespace sardinelb {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string key = "group/g/lease";

// Candidates for one lease in a table that a test can restore from an earlier copy. Calls are answered at once.
class lease_test : public testing::Test {
protected:
    lease& add(const std::string& name)
    {
        return leases.emplace(name, lease(key, daemon_id(name), incarnation(1), timing)).first->second;
    }

    table_answer execute(const table_call& call)
    {
        const table_service service = table.hooks();
        if (const auto* read = std::get_if<table_read>(&call.request))
            return { call.id, table_outcome::Done, service.readRange(read->from, read->to, read->limit).value(), {} };
        const auto written = service.transact(std::get<table_transaction>(call.request));
        return { call.id, written ? table_outcome::Done : table_outcome::Conflict, {},
            written ? written.value() : row_revision() };
    }

    // Advances the time and checks that at most one candidate may act.
    void run(duration time)
    {
        const time_point end = now + time;
        for (; now < end; now += milliseconds(100)) {
            for (auto& [name, candidate] : leases) {
                if (const auto call = candidate.tick(now))
                    candidate.onTableResult(execute(*call), now);
            }
            const auto acting = std::ranges::count_if(leases, [this](const auto& item) { return item.second.canAct(now); });
            EXPECT_LE(acting, 1) << "at " << now.time_since_epoch().count();
        }
    }

    fencing_number numberOf(const std::string& name) { return leases.at(name).view(now).number; }

    memory_table table;
    lease_timing timing;
    time_point now { seconds(100) };
    std::map<std::string, lease> leases;
};

// Guards against a fencing number that is given out twice after the table has lost the row of a later holder, and against
// two holders: the earlier one finds its own row.
TEST_F(lease_test, rowOfAnEarlierHolderRestored_numberRisesAndOneActs)
{
    lease& first = add("a");
    run(seconds(3));
    ASSERT_EQ(numberOf("a"), fencing_number(1));
    const memory_table copy = table;
    first.release();
    add("b");
    run(seconds(3));
    ASSERT_EQ(numberOf("b"), fencing_number(2));
    leases.erase("a");
    table = copy;
    run(seconds(20));
    EXPECT_TRUE(leases.at("b").canAct(now));
    EXPECT_EQ(numberOf("b"), fencing_number(3));
}

TEST_F(lease_test, ownRowOfAnEarlierHoldRestored_otherHolderStillActsAlone)
{
    add("a");
    run(seconds(3));
    const memory_table copy = table;
    // "a" is cut off until "b" has taken over, and then sees the row of "b".
    auto cutOff = leases.extract("a");
    add("b");
    run(seconds(15));
    ASSERT_EQ(numberOf("b"), fencing_number(2));
    leases.insert(std::move(cutOff));
    run(seconds(3));
    table = copy;
    run(seconds(20));
    EXPECT_GT(std::max(numberOf("a"), numberOf("b")), fencing_number(2));
}

// Guards against an access to a row that does not exist, and against a number that begins again at 1.
TEST_F(lease_test, rowMissingAfterARestore_numberRisesAndOneActs)
{
    const memory_table copy = table;
    add("a");
    add("b");
    run(seconds(3));
    const fencing_number before = std::max(numberOf("a"), numberOf("b"));
    table = copy;
    run(seconds(20));
    EXPECT_GT(std::max(numberOf("a"), numberOf("b")), before);
    EXPECT_TRUE(leases.at("a").canAct(now) || leases.at("b").canAct(now));
}

// Guards against a released row whose number is below that of an earlier holder.
TEST_F(lease_test, releaseAfterARestore_keepsTheHighestNumber)
{
    add("a");
    run(seconds(3));
    const memory_table copy = table;
    leases.at("a").release();
    run(seconds(1));
    add("b");
    run(seconds(3));
    ASSERT_EQ(numberOf("b"), fencing_number(2));
    table = copy;
    run(seconds(20));
    leases.at("b").release();
    run(seconds(3));
    const auto row = parseLeaseRow(table.rows().at(key).value);
    ASSERT_TRUE(row);
    EXPECT_GE(row->number, fencing_number(2));
}

}

}
