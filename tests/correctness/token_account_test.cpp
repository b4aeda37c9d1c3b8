#include "coordination/limits/token_account.h"

#include "coordination/limits/limit_owner.h"
#include "coordination/messages/lease_grant_message.h"
#include "coordination/messages/lease_request_message.h"
#include "state/contract.h"
#include "state/derived_limits.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

namespace sardinelb {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

derived_limits limitsOf(std::int64_t tokensPerSecond, double requestsPerSecond)
{
    contract terms;
    terms.tokensPerSecond = token_count(tokensPerSecond);
    terms.requestsPerSecond = requestsPerSecond;
    terms.answerWithin = seconds(5);
    return limitsFor(terms);
}

class token_account_test : public testing::Test {
protected:
    // Returns whether the account admits the request.
    bool reserve(int request, std::int64_t tokens)
    {
        const request_cost cost { token_count(tokens), token_count(0) };
        return account.reserve(idOf(request), team, limits, cost, now).has_value();
    }

    static request_id idOf(int request) { return request_id("r" + std::to_string(request)); }

    // Makes the account one of two entries, with `owner` as the limit owner of all teams.
    void joinFleet()
    {
        const std::vector<daemon_id> live { self, daemon_id("other") };
        account.setDaemons(live, now);
        (void)owner.setDaemons({ daemon_id("owner") }, now);
        now += seconds(20);
    }

    // Delivers all due lease requests to the owner and its grants to the account. Returns the number of requests.
    std::size_t exchange()
    {
        const std::vector<lease_request_message> requests = account.takeLeaseRequests(now);
        for (const lease_request_message& request : requests) {
            if (const auto grant = owner.answer(request, incarnation(1), limits, now))
                account.granted(*grant, now);
        }
        return requests.size();
    }

    const daemon_id self { "self" };
    const team_id team { "team" };
    token_account account { self };
    limit_owner owner { daemon_id("owner") };
    derived_limits limits = limitsOf(100, 10);
    time_point now { seconds(100) };
};

}

// Guards against a single entry that does not enforce limits.
TEST_F(token_account_test, AloneAdmitsTheBurstAndThenTheRate)
{
    EXPECT_TRUE(reserve(1, 1000));
    EXPECT_FALSE(reserve(2, 100));
    EXPECT_EQ(account.retryAfter(team, now), seconds(1));
    now += seconds(1);
    EXPECT_TRUE(reserve(3, 100));
    EXPECT_FALSE(reserve(4, 1));
}

// Guards against a refusal without the team and the limit in its error.
TEST_F(token_account_test, RefusalNamesTeamAndLimit)
{
    limits.inFlight = 1;
    EXPECT_TRUE(reserve(1, 1));
    const auto refused = account.reserve(idOf(2), team, limits, {}, now);
    ASSERT_FALSE(refused.has_value());
    EXPECT_EQ(refused.error().code, coordination_errc::OverContract);
    EXPECT_EQ(refused.error().subject, "team");
    EXPECT_EQ(refused.error().detail, "requests in flight");
}

// Guards against a leak of reservations of requests that were not run.
TEST_F(token_account_test, ReleaseReturnsTokensRequestAndPlaceInFlight)
{
    limits.inFlight = 1;
    for (int request = 0; request < 500; ++request) {
        ASSERT_TRUE(reserve(request, 1000));
        account.release(idOf(request), now);
    }
}

// Guards against charging the estimate instead of the reported usage.
TEST_F(token_account_test, SettleChargesTheReportedUse)
{
    EXPECT_TRUE(reserve(1, 1000));
    account.settle(idOf(1), { token_count(100), token_count(300) }, now);
    EXPECT_TRUE(reserve(2, 600));
    account.settle(idOf(2), { token_count(600), token_count(100) }, now);
    now += seconds(1);
    EXPECT_FALSE(reserve(3, 1));
    now += milliseconds(10);
    EXPECT_TRUE(reserve(4, 1));
}

// Guards against requests that stay in flight forever when their settlement is lost, and against returning tokens that
// may have been used.
TEST_F(token_account_test, LostSettlementExpiresAndCountsAsUsed)
{
    limits.inFlight = 1;
    EXPECT_TRUE(reserve(1, 1000));
    now += limits.answerWithin;
    EXPECT_FALSE(reserve(2, 1));
    now += seconds(10);
    EXPECT_TRUE(reserve(3, 1000));
    account.settle(idOf(1), {}, now);
    EXPECT_FALSE(reserve(4, 1));
}

// Guards against a final refusal of a request that only waits for a lease.
TEST_F(token_account_test, WithoutALeaseWaitsAndIsAdmittedByTheGrant)
{
    joinFleet();
    EXPECT_FALSE(reserve(1, 500));
    EXPECT_EQ(account.waitDeadline(idOf(1)), now + milliseconds(150));
    EXPECT_EQ(exchange(), 1U);
    EXPECT_TRUE(reserve(1, 500));
    EXPECT_EQ(account.waitDeadline(idOf(1)), std::nullopt);
}

// Guards against waiting for a lease that the owner has denied, and against repeated requests for it.
TEST_F(token_account_test, DenialIsFinalAndIsNotAskedForAgain)
{
    joinFleet();
    EXPECT_FALSE(reserve(1, 990));
    exchange();
    EXPECT_TRUE(reserve(1, 990));
    EXPECT_FALSE(reserve(2, 500));
    exchange();
    EXPECT_FALSE(reserve(2, 500));
    EXPECT_EQ(account.waitDeadline(idOf(2)), std::nullopt);
    EXPECT_GT(account.retryAfter(team, now), milliseconds(100));
    EXPECT_FALSE(reserve(3, 500));
    EXPECT_EQ(exchange(), 0U);
}

// Guards against using two grants for one request: the owner revokes the first grant when it is asked again.
TEST_F(token_account_test, GrantToAnEarlierRequestIsIgnored)
{
    joinFleet();
    EXPECT_FALSE(reserve(1, 500));
    const std::vector<lease_request_message> first = account.takeLeaseRequests(now);
    now += milliseconds(60);
    const std::vector<lease_request_message> second = account.takeLeaseRequests(now);
    ASSERT_EQ(first.size(), 1U);
    ASSERT_EQ(second.size(), 1U);
    const auto grantOfFirst = owner.answer(first.front(), incarnation(1), limits, now);
    const auto grantOfSecond = owner.answer(second.front(), incarnation(1), limits, now);
    account.granted(*grantOfFirst, now);
    EXPECT_FALSE(reserve(1, 500));
    account.granted(*grantOfSecond, now);
    account.granted(*grantOfFirst, now);
    EXPECT_TRUE(reserve(1, 500));
    EXPECT_FALSE(reserve(2, 500));
}

// Guards against spending from a lease after it has expired for its owner.
TEST_F(token_account_test, LeaseLapses)
{
    limits = limitsOf(100000, 1000);
    joinFleet();
    // A grant for a request that is cancelled before it uses the grant.
    EXPECT_FALSE(reserve(1, 500));
    exchange();
    account.release(idOf(1), now);
    now += milliseconds(149);
    EXPECT_TRUE(reserve(2, 500));
    EXPECT_FALSE(reserve(3, 900));
    exchange();
    account.release(idOf(3), now);
    now += milliseconds(151);
    EXPECT_FALSE(reserve(3, 900));
    exchange();
    // A grant for a forecast.
    for (int request = 10; request < 60; ++request) {
        reserve(request, 10);
        exchange();
    }
    now += milliseconds(9900);
    EXPECT_TRUE(reserve(4, 10));
    now += milliseconds(200);
    EXPECT_FALSE(reserve(5, 10));
}

// Guards against an entry that refuses or admits everything while its owner is unreachable.
TEST_F(token_account_test, CutOffAdmitsItsEqualShareOnly)
{
    limits = limitsOf(1000, 100);
    joinFleet();
    std::int64_t admitted = 0;
    const time_point start = now;
    for (int request = 0; request < 2000; ++request) {
        const bool isAdmitted = reserve(request, 20);
        admitted += isAdmitted ? 20 : 0;
        account.takeLeaseRequests(now);
        now += milliseconds(5);
        if (!isAdmitted)
            account.release(idOf(request), now);
        else
            account.settle(idOf(request), { token_count(20), token_count(0) }, now);
    }
    const double elapsed = std::chrono::duration<double>(now - start).count();
    const double share = 0.5 * (1000 * elapsed + 0.05 * 10000);
    EXPECT_LE(static_cast<double>(admitted), share);
    EXPECT_GE(static_cast<double>(admitted), 0.8 * share);
}

// Guards against lease messages for idle teams.
TEST_F(token_account_test, IdleTeamSendsNothing)
{
    joinFleet();
    for (int request = 0; request < 100; ++request) {
        reserve(request, 1);
        exchange();
        reserve(request, 1);
        account.settle(idOf(request), { token_count(1), token_count(0) }, now);
        now += milliseconds(50);
    }
    now += seconds(6);
    std::size_t messages = 0;
    for (int tick = 0; tick < 10000; ++tick) {
        messages += exchange();
        now += milliseconds(50);
    }
    EXPECT_EQ(messages, 0U);
    owner.dropIdle(now);
    EXPECT_EQ(owner.trackedShards(), 0U);
}

// Guards against one lease message per request for a team with steady traffic.
TEST_F(token_account_test, SteadyTeamSharesLeases)
{
    limits = limitsOf(100000, 1000);
    joinFleet();
    std::size_t messages = 0;
    for (int request = 0; request < 5000; ++request) {
        if (!reserve(request, 10)) {
            messages += exchange();
            ASSERT_TRUE(reserve(request, 10));
        }
        messages += exchange();
        account.settle(idOf(request), { token_count(10), token_count(0) }, now);
        now += milliseconds(10);
    }
    EXPECT_LE(messages, 500U);
}

}
