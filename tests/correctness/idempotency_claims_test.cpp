#include "coordination/claims/idempotency_claims.h"

#include "state/memory_table.h"

#include <gtest/gtest.h>

#include <chrono>
#include <deque>
#include <random>
#include <utility>

namespace sardinelb {

namespace {

// Entries that claim keys in a shared table, in virtual time.
class claim_fleet {
public:
    explicit claim_fleet(int entries)
    {
        for (int i = 0; i < entries; ++i)
            m_entries.emplace_back("entry-" + std::to_string(i));
    }

    // Runs the entries for the given time. `faultFor` chooses the fault of each call to the table.
    void run(duration time, const std::function<table_fault()>& faultFor)
    {
        const time_point end = m_now + time;
        while (m_now < end) {
            m_now += std::chrono::milliseconds(5);
            for (std::size_t i = 0; i < m_entries.size(); ++i)
                step(i, faultFor);
        }
    }

    void claim(std::size_t entry, const std::string& request, const std::string& key,
        const std::string& digest = "d", duration within = std::chrono::seconds(2))
    {
        m_entries[entry].claim(request_id(request), team_id("t"), key, digest, m_now + within);
    }

    void end(std::size_t entry, const std::string& request, execution_outcome outcome)
    {
        m_entries[entry].onRequestEnded(request_id(request), outcome, 200, m_now);
    }

    // Applies the delayed writes, which no read has seen so far.
    void deliverDelayed()
    {
        const table_service table = m_table.hooks();
        for (const table_transaction& late : std::exchange(m_delayed, {}))
            static_cast<void>(table.transact(late));
    }

    memory_table copyOfTable() const { return m_table; }

    // Lets the table come back from an earlier copy.
    void restoreTable(const memory_table& copy) { m_table = copy; }

    std::optional<claim_verdict> verdictOf(const std::string& request) const
    {
        const auto found = m_results.find(request);
        return found == m_results.end() ? std::nullopt : std::optional(found->second.front().verdict);
    }

    std::size_t resultCount(const std::string& request) const
    {
        const auto found = m_results.find(request);
        return found == m_results.end() ? 0 : found->second.size();
    }

    std::size_t pendingCount() const
    {
        std::size_t count = 0;
        for (const idempotency_claims& claims : m_entries)
            count += claims.pendingCount();
        return count;
    }

private:
    void step(std::size_t index, const std::function<table_fault()>& faultFor)
    {
        idempotency_claims& claims = m_entries[index];
        claims.tick(m_now);
        for (const claim_transaction& outgoing : claims.takeTransactions())
            claims.onTransactionResult(outgoing.number, transact(outgoing.transaction, faultFor()), m_now);
        for (const claim_read& wanted : claims.takeReads()) {
            const table_fault fault = faultFor();
            claims.onRowRead(wanted.number, hooksWith(fault).readRow(wanted.key), m_now);
        }
        for (const claim_result& result : claims.takeResults())
            m_results[result.request.value()].push_back(result);
    }

    table_service hooksWith(table_fault fault)
    {
        return m_table.hooks([fault](table_operation) { return fault; });
    }

    state_result<row_revision> transact(const table_transaction& transaction, table_fault fault)
    {
        if (fault != table_fault::Delayed)
            return hooksWith(fault).transact(transaction);
        m_delayed.push_back(transaction);
        return state_error { state_errc::OutcomeUnknown, "table", "answer lost" };
    }

    memory_table m_table;
    std::vector<table_transaction> m_delayed;
    std::deque<idempotency_claims> m_entries;
    std::map<std::string, std::vector<claim_result>> m_results;
    time_point m_now { std::chrono::seconds(1) };
};

table_fault noFault()
{
    return table_fault::None;
}

}

// Guards against a request that runs at two entries because both believe that they hold the key.
TEST(IdempotencyClaims, OfOneKeyAtTwoEntriesAreGivenToOne)
{
    claim_fleet fleet(2);
    fleet.claim(0, "r1", "key");
    fleet.claim(1, "r2", "key");
    fleet.run(std::chrono::seconds(1), noFault);
    EXPECT_EQ(fleet.verdictOf("r1"), claim_verdict::Claimed);
    EXPECT_EQ(fleet.verdictOf("r2"), claim_verdict::InProgress);
}

// Guards against two claims of one key in one batch, where neither would conflict with the other.
TEST(IdempotencyClaims, OfOneKeyInOneBatchAreGivenToOne)
{
    claim_fleet fleet(1);
    fleet.claim(0, "r1", "key");
    fleet.claim(0, "r2", "key");
    fleet.run(std::chrono::seconds(1), noFault);
    const int claimed = (fleet.verdictOf("r1") == claim_verdict::Claimed ? 1 : 0)
        + (fleet.verdictOf("r2") == claim_verdict::Claimed ? 1 : 0);
    EXPECT_EQ(claimed, 1);
}

// Guards against refusing a whole batch because one of its keys is claimed.
TEST(IdempotencyClaims, OfFreeKeysInABatchWithATakenOneAreClaimed)
{
    claim_fleet fleet(2);
    fleet.claim(0, "r1", "taken");
    fleet.run(std::chrono::seconds(1), noFault);
    fleet.claim(1, "r2", "taken");
    fleet.claim(1, "r3", "free");
    fleet.run(std::chrono::seconds(1), noFault);
    EXPECT_EQ(fleet.verdictOf("r2"), claim_verdict::InProgress);
    EXPECT_EQ(fleet.verdictOf("r3"), claim_verdict::Claimed);
}

// Guards against refusing a request whose claim was written although the answer of the table was lost.
TEST(IdempotencyClaims, WithALostAnswerAreResolvedByReadingBack)
{
    claim_fleet fleet(1);
    int calls = 0;
    fleet.claim(0, "r1", "key");
    fleet.run(std::chrono::seconds(1), [&] { return calls++ == 0 ? table_fault::AnswerLost : table_fault::None; });
    EXPECT_EQ(fleet.verdictOf("r1"), claim_verdict::Claimed);
}

// Guards against a write that takes effect late and takes the key from a request that has claimed it in the meantime.
TEST(IdempotencyClaims, WithAWriteThatLandsLateKeepOneHolder)
{
    claim_fleet fleet(2);
    int calls = 0;
    fleet.claim(0, "r1", "key");
    fleet.run(std::chrono::milliseconds(10),
        [&] { return calls++ == 0 ? table_fault::Delayed : table_fault::None; });
    fleet.claim(1, "r2", "key");
    fleet.run(std::chrono::milliseconds(30), noFault);
    fleet.deliverDelayed();
    fleet.run(std::chrono::seconds(3), noFault);
    EXPECT_EQ(fleet.verdictOf("r2"), claim_verdict::Claimed);
    EXPECT_EQ(fleet.verdictOf("r1"), claim_verdict::InProgress);
}

// Guards against running a request with an idempotency key whose claim could not be recorded.
TEST(IdempotencyClaims, WhileTheTableIsDownAreRefusedInTime)
{
    claim_fleet fleet(1);
    fleet.claim(0, "r1", "key", "d", std::chrono::milliseconds(500));
    fleet.run(std::chrono::milliseconds(510), [] { return table_fault::Down; });
    EXPECT_EQ(fleet.verdictOf("r1"), claim_verdict::StoreUnavailable);
}

// Guards against a key that stays claimed by a request whose caller was told that it was not run.
TEST(IdempotencyClaims, GivenUpAfterTheirWriteLandedAreReleased)
{
    claim_fleet fleet(2);
    int calls = 0;
    fleet.claim(0, "r1", "key", "d", std::chrono::milliseconds(500));
    fleet.run(std::chrono::milliseconds(600),
        [&] { return calls++ == 0 ? table_fault::AnswerLost : table_fault::Down; });
    EXPECT_EQ(fleet.verdictOf("r1"), claim_verdict::StoreUnavailable);
    fleet.run(std::chrono::seconds(1), noFault);
    fleet.claim(1, "r2", "key");
    fleet.run(std::chrono::seconds(1), noFault);
    EXPECT_EQ(fleet.verdictOf("r2"), claim_verdict::Claimed);
}

// Guards against running an ended request again, and against refusing the retry of a request that was not run.
TEST(IdempotencyClaims, OfEndedRequestsAreTakenOnlyWhenNotRun)
{
    claim_fleet fleet(2);
    fleet.claim(0, "r1", "done");
    fleet.claim(0, "r2", "refused");
    fleet.run(std::chrono::seconds(1), noFault);
    fleet.end(0, "r1", execution_outcome::Completed);
    fleet.end(0, "r2", execution_outcome::NotRun);
    fleet.run(std::chrono::seconds(1), noFault);
    fleet.claim(1, "r3", "done");
    fleet.claim(1, "r4", "refused");
    fleet.claim(1, "r5", "done", "other");
    fleet.run(std::chrono::seconds(1), noFault);
    EXPECT_EQ(fleet.verdictOf("r3"), claim_verdict::Ended);
    EXPECT_EQ(fleet.verdictOf("r4"), claim_verdict::Claimed);
    EXPECT_EQ(fleet.verdictOf("r5"), claim_verdict::OtherRequest);
}

// Guards against a key that can be used again although its request ran while the table lost the claim.
TEST(IdempotencyClaims, OfARequestInProgressThatTheTableHasLostAreRecordedAtItsEnd)
{
    claim_fleet fleet(2);
    const memory_table copy = fleet.copyOfTable();
    fleet.claim(0, "r1", "key");
    fleet.run(std::chrono::seconds(1), noFault);
    ASSERT_EQ(fleet.verdictOf("r1"), claim_verdict::Claimed);
    fleet.restoreTable(copy);
    fleet.end(0, "r1", execution_outcome::Completed);
    fleet.run(std::chrono::seconds(1), noFault);
    fleet.claim(1, "r2", "key");
    fleet.run(std::chrono::seconds(1), noFault);
    EXPECT_EQ(fleet.verdictOf("r2"), claim_verdict::Ended);
    EXPECT_EQ(fleet.pendingCount(), 0U);
}

// Checks random histories against a sequential specification: a key is claimed again only after its holder has ended as
// not run, every claim has exactly one result, and nothing stays pending once the table works.
TEST(IdempotencyClaims, InRandomHistoriesAreGivenOneAtATime)
{
    constexpr int histories = 200;
    constexpr int keys = 3;
    for (unsigned seed = 1; seed <= histories; ++seed) {
        std::mt19937 random(seed);
        const auto pick = [&random](int count) { return static_cast<int>(random() % static_cast<unsigned>(count)); };
        claim_fleet fleet(3);
        std::map<std::string, std::string> holder;
        std::map<std::string, std::pair<std::size_t, std::string>> requests;
        const auto fault = [&] { return pick(3) == 0 ? static_cast<table_fault>(pick(4)) : table_fault::None; };
        for (int i = 0; i < 40; ++i) {
            const std::string request = "r" + std::to_string(i);
            const auto entry = static_cast<std::size_t>(pick(3));
            const std::string key = "k" + std::to_string(pick(keys));
            requests[request] = { entry, key };
            fleet.claim(entry, request, key, "d", std::chrono::milliseconds(300));
            fleet.run(std::chrono::milliseconds(pick(400)), fault);
            if (pick(4) == 0)
                fleet.deliverDelayed();
            for (const auto& [name, where] : requests) {
                if (fleet.verdictOf(name) != claim_verdict::Claimed || holder[where.second] == name)
                    continue;
                ASSERT_EQ(holder[where.second], "") << "seed " << seed << ", key " << where.second;
                holder[where.second] = name;
            }
            for (auto& [key2, name] : holder) {
                if (name.empty() || pick(3) != 0)
                    continue;
                fleet.end(requests[name].first, name, execution_outcome::NotRun);
                requests.erase(name);
                name.clear();
            }
        }
        fleet.deliverDelayed();
        fleet.run(std::chrono::seconds(70), noFault);
        EXPECT_EQ(fleet.pendingCount(), 0U) << "seed " << seed;
        for (const auto& [name, where] : requests)
            EXPECT_EQ(fleet.resultCount(name), 1U) << "seed " << seed << ", " << name;
    }
}

}
