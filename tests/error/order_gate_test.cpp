#include "coordination/leases/lease.h"
#include "coordination/leases/order_gate.h"
#include "coordination/leases/order_issuer.h"
#include "coordination/leases/order_row.h"

#include <gtest/gtest.h>
#include <optional>
#include <variant>

using namespace sardinelb;
using namespace std::chrono_literals;

namespace {

// Runs an order gate against a fake runner. The table is unavailable unless the test sets m_row.
class order_gate_fixture : public testing::Test {
protected:
    static runner_order order(std::uint64_t sequence, std::uint64_t number)
    {
        return { runner_id("r"), sequence, std::to_string(sequence), fencing_number(number), order_kind::LoadModel,
            "clue-" + std::to_string(sequence), order_status::Pending };
    }

    void answerRunner(const runner_call& call)
    {
        if (call.order) {
            m_runnerOrders.push_back(*call.order);
            m_state.models.insert(call.order->subject);
        }
        ++m_runnerCalls;
        if (m_runnerAnswers)
            m_gate.onRunnerResult({ call.id, runner_outcome::Done, m_state }, m_now);
    }

    void answerTable(const table_call& call)
    {
        table_answer answer { call.id, table_outcome::Unavailable, {}, {} };
        if (m_row) {
            answer.outcome = table_outcome::Done;
            answer.rows = { { orderKey(m_row->runner, m_row->sequence), toText(*m_row), row_revision(1) } };
        }
        m_gate.onTableResult(answer, m_now);
    }

    void run(duration length)
    {
        for (const time_point end = m_now + length; m_now < end; m_now += 100ms) {
            for (const gate_action& action : m_gate.tick(m_now)) {
                if (const auto* call = std::get_if<runner_call>(&action))
                    answerRunner(*call);
                else if (const auto* read = std::get_if<table_call>(&action))
                    answerTable(*read);
            }
        }
    }

    void send(const runner_order& sent, std::uint64_t lifetime = 2)
    {
        m_gate.onOrderMessage({ sent, incarnation(lifetime) }, m_now);
    }

    // Sends the order every second for `length`, as its issuer does.
    void sendFor(const runner_order& sent, duration length)
    {
        for (const time_point end = m_now + length; m_now < end;) {
            send(sent);
            run(1s);
        }
    }

    time_point m_now { 100s };
    order_gate m_gate { runner_id("r"), incarnation(2), order_timing(), m_now };
    runner_state m_state;
    std::optional<runner_order> m_row;
    std::vector<runner_order> m_runnerOrders;
    int m_runnerCalls = 0;
    bool m_runnerAnswers = true;
};

}

// Guards against orders of a former holder that reach a runner which ignores fencing numbers.
TEST_F(order_gate_fixture, RefusesAnOlderNumber)
{
    m_row = order(2, 6);
    run(10s);
    ASSERT_EQ(m_runnerOrders.size(), 1U);
    m_row.reset();
    run(5s);
    sendFor(order(3, 5), 30s);
    EXPECT_EQ(m_runnerOrders.size(), 1U);
}

// Guards against acting on a message that was sent before the agent's restart and arrives after it.
TEST_F(order_gate_fixture, RefusesAMessageToAnEarlierIncarnation)
{
    for (int i = 0; i < 30; ++i) {
        send(order(1, 5), 1);
        run(1s);
    }
    EXPECT_TRUE(m_runnerOrders.empty());
}

// Guards against acting for a new holder while an earlier holder may still act.
TEST_F(order_gate_fixture, WaitsOutTheLeaseWhileTheTableWasNeverRead)
{
    sendFor(order(1, 5), 10s);
    EXPECT_TRUE(m_runnerOrders.empty());
    sendFor(order(1, 5), 2s);
    EXPECT_EQ(m_runnerOrders.size(), 1U);
}

// Guards against a single stale message that takes effect when the wait is over.
TEST_F(order_gate_fixture, NeedsAnotherMessageAfterTheWait)
{
    send(order(1, 5));
    run(60s);
    EXPECT_TRUE(m_runnerOrders.empty());
}

// Guards against an unnecessary wait after the orders have been read from the table.
TEST_F(order_gate_fixture, TakesAHigherNumberAtOnceAfterATableRead)
{
    m_row = order(1, 5);
    run(7s);
    ASSERT_EQ(m_runnerOrders.size(), 1U);
    m_row.reset();
    run(5s);
    sendFor(order(2, 6), 2s);
    EXPECT_EQ(m_runnerOrders.size(), 2U);
}

// Guards against concurrent calls to a runner that does not answer.
TEST_F(order_gate_fixture, KeepsOneCallOpen)
{
    m_runnerAnswers = false;
    m_row = order(1, 5);
    run(10s);
    // One call every two seconds, the timeout of a runner call.
    EXPECT_LE(m_runnerCalls, 5);
    EXPECT_TRUE(m_runnerOrders.empty());
}

// Guards against a delayed write that takes effect after its order has finished and its row has been removed. Such a write
// can still be committed while the lease row is unchanged.
TEST(OrderIssuer, WritesNothingAfterAnUnknownWriteUntilTheLeaseWasRenewed)
{
    order_issuer issuer { order_timing() };
    lease_view held { true, fencing_number(3), "k", row_revision(10) };
    time_point now(1s);
    const auto nextCall = [&]() -> std::optional<table_call> {
        now += 100ms;
        for (const order_action& action : issuer.tick(held, now)) {
            if (const auto* call = std::get_if<table_call>(&action))
                return *call;
        }
        return std::nullopt;
    };
    issuer.onTableResult({ nextCall()->id, table_outcome::Done, {}, {} }, now);
    ASSERT_TRUE(issuer.request({ "1", runner_id("r"), order_kind::LoadModel, "clue", "requested by the test" }));
    const auto insertion = nextCall();
    ASSERT_TRUE(std::holds_alternative<table_transaction>(insertion->request));
    issuer.onTableResult({ insertion->id, table_outcome::Unknown, {}, {} }, now);
    for (int i = 0; i < 100; ++i)
        EXPECT_FALSE(nextCall());
    held.revision = row_revision(11);
    const auto read = nextCall();
    ASSERT_TRUE(read);
    EXPECT_TRUE(std::holds_alternative<table_read>(read->request));
}

// Guards against an order of a former holder that keeps the old fencing number.
TEST(OrderIssuer, WritesItsNumberIntoPendingOrders)
{
    order_issuer issuer { order_timing() };
    const lease_view held { true, fencing_number(3), "k", row_revision(10) };
    const runner_order old { runner_id("r"), 4, "x", fencing_number(2), order_kind::LoadModel, "clue",
        order_status::Pending };
    const auto read = std::get<table_call>(issuer.tick(held, time_point(1s)).front());
    issuer.onTableResult(
        { read.id, table_outcome::Done, { { orderKey(old.runner, 4), toText(old), row_revision(7) } }, {} },
        time_point(1s));
    const auto adoption = std::get<table_call>(issuer.tick(held, time_point(2s)).front());
    const auto& write = std::get<table_transaction>(adoption.request);
    const auto adopted = parseOrder({ "", write.puts.at(0).second, {} });
    EXPECT_EQ(adopted->number, fencing_number(3));
    EXPECT_EQ(adopted->sequence, 4U);
}

// Guards against a lease that is not available immediately after its holder has released it.
TEST(Lease, IsTakenOverAtOnceAfterARelease)
{
    lease held("k", daemon_id("a"), incarnation(1), lease_timing());
    const auto read = held.tick(time_point(1s));
    held.onTableResult({ read->id, table_outcome::Done, {}, {} }, time_point(1s));
    const auto acquire = held.tick(time_point(1s));
    held.onTableResult({ acquire->id, table_outcome::Done, {}, row_revision(7) }, time_point(1s));
    ASSERT_TRUE(held.canAct(time_point(1s)));
    held.release();
    EXPECT_FALSE(held.canAct(time_point(1s)));
    const auto released = held.tick(time_point(4s));
    const auto& write = std::get<table_transaction>(released->request);
    lease next("k", daemon_id("b"), incarnation(1), lease_timing());
    const auto firstRead = next.tick(time_point(5s));
    next.onTableResult(
        { firstRead->id, table_outcome::Done, { { "k", write.puts[0].second, row_revision(8) } }, {} }, time_point(5s));
    const auto takeover = next.tick(time_point(5s));
    next.onTableResult({ takeover->id, table_outcome::Done, {}, row_revision(9) }, time_point(5s));
    EXPECT_EQ(next.view(time_point(5s)).number, fencing_number(2));
    EXPECT_TRUE(next.view(time_point(5s)).canAct);
}
