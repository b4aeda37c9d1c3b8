#include "serving/runner_listing.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace sardinelb::test {

class shared_address : public testing::Test {
protected:
    static runner_listing::change rowOf(int number)
    {
        listed_runner runner;
        runner.id = runner_id("i" + std::to_string(number));
        runner.pool = pool_id("p");
        runner.address = "10.0.0.1:80";
        return { runner.id, runner };
    }
};

// Guards against entries that choose different rows of the same address, and so read the whole list from the store without end.
TEST_F(shared_address, rowsWithoutStartTime_anyOrderOfArrival_sameDigest)
{
    constexpr int rows = 40;
    std::vector<runner_listing::change> changes;
    changes.reserve(rows);
    for (int i = 0; i < rows; ++i)
        changes.push_back(rowOf(i));
    runner_listing snapshot;
    snapshot.apply(changes, true, {});
    ASSERT_EQ(snapshot.runners({}).size(), 1U);
    std::reverse(changes.begin(), changes.end());
    runner_listing followed;
    followed.apply({}, true, {});
    for (const auto& change : changes)
        followed.apply({ change }, false, {});
    EXPECT_EQ(followed.runners({}).front().id, snapshot.runners({}).front().id);
    EXPECT_EQ(followed.digest(), snapshot.digest());
}

}
