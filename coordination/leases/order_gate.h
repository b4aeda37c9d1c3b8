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

// The agent's side of orders; all orders to the runner pass through it. Pure state machine; not safe for use from several
// threads.
//
// The table is the authoritative record: the runner has at most one pending row, and the gate updates the status in the row
// when the runner has the desired state. The state is read before each order, so an order that was carried out before a
// crash is not repeated. At most one call to the runner is open at a time. After a call of unknown outcome, and after the
// agent starts, no order is sent until every earlier call has either taken effect or can no longer do so.
//
// Orders with a fencing number below the highest seen are refused here, because a runner may ignore the numbers. While the
// table cannot be read, orders are taken from messages. A message must name this incarnation of the agent, so its sender
// held the lease after the agent started. If the agent has not read the table since it started, it first waits until the
// lease of any earlier holder must have ended and then requires another message with the same number.
class order_gate {
public:
    order_gate(runner_id, incarnation, order_timing, time_point now);

    // Returns the actions to perform now. Call at least every 100 ms, and after each answer.
    std::vector<gate_action> tick(time_point now);

    // Process answers and messages. Answers to earlier calls are ignored.
    void onTableResult(const table_answer&, time_point now);
    void onRunnerResult(const runner_answer&, time_point now);
    void onOrderMessage(const order_message&, time_point now);

    fencing_number highestNumber() const { return m_highestNumber; }

private:
    // The order that is being carried out.
    struct current_order {
        // With the status that the gate has determined, which the row may not show yet.
        runner_order order;
        // Revision of the order's row; nothing while the order is known only from a message.
        std::optional<row_revision> revision;
        int refusals = 0;
    };

    // A call that has not been answered yet.
    struct open_call {
        std::uint64_t id = 0;
        time_point sentAt;
        // Whether the call changes the table or the runner.
        bool isWrite = false;
        // For a call to the runner: the order it belongs to.
        std::uint64_t sequence = 0;
    };

    void expireCalls(time_point now);
    std::optional<table_call> nextTableCall(time_point now);
    std::optional<runner_call> nextRunnerCall(time_point now);
    void applyRows(const std::vector<table_row>&);
    void applyRow(const runner_order&, row_revision);
    bool isTableFresh(time_point now) const;
    // Returns whether the lease of any earlier holder must have ended; starts the wait if necessary.
    bool waitForEarlierLease(const runner_order&, time_point now);
    void applyMessage(const runner_order&);
    void onRunnerState(const runner_state&, time_point sentAt, time_point now);
    void onOrderResult(runner_outcome, const open_call&, time_point now);
    void finishOrder(order_status, const std::string& reason);
    void log(std::string text);

    runner_id m_runner;
    incarnation m_lifetime;
    order_timing m_timing;
    fencing_number m_highestNumber;
    std::optional<current_order> m_current;
    std::uint64_t m_lastFinishedSequence = 0;

    std::uint64_t m_lastCallId = 0;
    std::optional<open_call> m_tableCall;
    time_point m_nextTableCallAt = time_point::min();
    std::optional<time_point> m_lastReadAt;

    std::optional<open_call> m_runnerCall;
    time_point m_nextRunnerCallAt = time_point::min();
    // When the last state was read that shows that the order still has to be carried out.
    std::optional<time_point> m_stateReadAt;
    // No order is sent before this time, because an earlier call may still take effect.
    time_point m_noOrdersUntil;

    // Highest fencing number in messages that wait for the end of an earlier lease, and the start of that wait.
    fencing_number m_waitingNumber;
    time_point m_waitingSince;
    std::vector<log_action> m_log;
};

}
