#pragma once

#include "coordination/agent/runner_answer.h"
#include "coordination/leases/gate_action.h"
#include "coordination/leases/order_timing.h"
#include "coordination/leases/runner_order.h"
#include "coordination/messages/order_message.h"
#include "coordination/table_answer.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sardinelb {

// The agent's side of orders: the only path to its runner. Pure state machine; not safe for use from several threads.
//
// The table is the record of what is to be done: the runner has at most one pending row, and the gate marks it when the
// runner's state is as desired. The state is read before each order, so that an order that was carried out before a
// crash is not repeated. One call to the runner is open at a time. After a call of unknown outcome, and after a start
// of the agent, no order is given until every earlier call has either taken effect or can no longer do so.
//
// Orders with a fencing number below the highest seen are refused here, because a runner may ignore the numbers. While
// the table cannot be read, orders are taken from messages. A message must name this incarnation of the agent, so its
// sender held the lease after the agent's start. As long as the agent has not read the table since its start, it first
// waits out the lease of any earlier holder and then needs another message with the same number.
class order_gate {
public:
    order_gate(runner_id, incarnation, order_timing, time_point now);

    // Call at least every 100 ms, and after each answer.
    std::vector<gate_action> tick(time_point now);

    // Take answers and messages. Answers to earlier calls are ignored.
    void tableAnswered(const table_answer&, time_point now);
    void runnerAnswered(const runner_answer&, time_point now);
    void orderReceived(const order_message&, time_point now);

    fencing_number highestNumber() const { return m_highest; }

private:
    // The order at hand.
    struct current_order {
        // Its status is what the gate found, which the row may not show yet.
        runner_order order;
        // Revision of its row; nothing while it is known from a message only.
        std::optional<row_revision> revision;
        int refusals = 0;
    };

    // A call that awaits its answer.
    struct open_call {
        std::uint64_t id = 0;
        time_point sentAt;
        // Whether it changes something.
        bool isWrite = false;
        // Order that a call to the runner is about.
        std::uint64_t sequence = 0;
    };

    void expireCalls(time_point now);
    std::optional<table_call> nextTableCall(time_point now);
    std::optional<runner_call> nextRunnerCall(time_point now);
    void noteRows(const std::vector<table_row>&);
    void takeRow(const runner_order&, row_revision);
    bool isTableFresh(time_point now) const;
    bool hasWaitedOut(const runner_order&, time_point now);
    void takeMessage(const runner_order&);
    void noteState(const runner_state&, time_point sentAt, time_point now);
    void noteOrderOutcome(runner_outcome, const open_call&, time_point now);
    void finish(order_status, const std::string& reason);
    void log(std::string text);

    runner_id m_runner;
    incarnation m_lifetime;
    order_timing m_timing;
    fencing_number m_highest;
    std::optional<current_order> m_current;
    std::uint64_t m_lastFinished = 0;

    std::uint64_t m_lastCall = 0;
    std::optional<open_call> m_tableCall;
    time_point m_nextTableCall = time_point::min();
    std::optional<time_point> m_lastRead;

    std::optional<open_call> m_runnerCall;
    time_point m_nextRunnerCall = time_point::min();
    // When the state was read that shows the order is still to be carried out.
    std::optional<time_point> m_stateReadAt;
    // No order is given before this time, because an earlier one may still take effect.
    time_point m_quietUntil;

    // Highest number in messages that wait for the end of an earlier lease, and since when.
    fencing_number m_waitingNumber;
    time_point m_waitingSince;
    std::vector<log_action> m_log;
};

}
