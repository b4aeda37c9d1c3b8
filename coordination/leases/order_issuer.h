#pragma once

#include "coordination/leases/lease_view.h"
#include "coordination/leases/order_action.h"
#include "coordination/leases/order_command.h"
#include "coordination/leases/order_timing.h"
#include "coordination/leases/runner_order.h"
#include "coordination/table_answer.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sardinelb {

// Issues orders to runners as the holder of a lease. Pure state machine; not safe for use from several threads.
//
// A runner has at most one pending order, and its row is in the table before the agent can learn of it. All writes are
// conditional on the revision of the lease, so none takes effect after the lease has passed to another holder. A new holder
// reads all rows, adopts pending orders by writing its own fencing number into them, and only then issues new ones. After a
// write of unknown outcome nothing is written until the lease has been renewed, after which that write can no longer take
// effect, and the rows have been read again.
class order_issuer {
public:
    explicit order_issuer(order_timing);

    // Queues a command. Returns false, without effect, if the rows are not known, the runner is busy, or its latest order
    // has the same id.
    bool request(const order_command&);

    // Records the incarnation of the runner's agent.
    void onAgentHeard(const runner_id&, incarnation);

    // Returns the actions to perform now. Call at least every 100 ms, and after each answer.
    std::vector<order_action> tick(const lease_view&, time_point now);

    // Processes the answer to the open call. Answers to earlier calls are ignored.
    void onTableResult(const table_answer&, time_point now);

    // Whether the rows are known, so that commands are accepted.
    bool isSynced() const { return m_isSynced; }

    // Whether the runner has a pending order or a queued command.
    bool isBusy(const runner_id&) const;

    // The runner's latest order, if it has ever had one.
    std::optional<runner_order> latestOrder(const runner_id&) const;

private:
    // The latest order of a runner, as last read or written.
    struct stored_order {
        runner_order order;
        row_revision revision;
        time_point nextMessageAt = time_point::min();
    };

    // The call that has not been answered yet.
    struct open_call {
        std::uint64_t id = 0;
        time_point sentAt;
        // Lease revision that the write depends on; nothing for a read.
        std::optional<row_revision> leaseRevision;
        // The order that the call writes.
        runner_order order;
    };

    void onLeaseLost();
    void restartRead();
    void expireCall(time_point now);
    std::optional<table_call> nextCall(const lease_view&, time_point now);
    std::optional<table_call> adoptionCall(const lease_view&, time_point now);
    std::optional<table_call> insertionCall(const lease_view&, time_point now);
    table_call readCall(time_point now);
    table_call writeCall(const runner_order&, const lease_view&, time_point now);
    void addPage(const table_answer&, time_point now);
    void finishRead();
    void addMessages(std::vector<order_action>&, const lease_view&, time_point now);
    void log(std::string text);

    order_timing m_timing;
    fencing_number m_fencingNumber;
    bool m_isSynced = false;
    std::map<runner_id, stored_order> m_orders;
    std::map<runner_id, order_command> m_queuedCommands;
    std::map<runner_id, incarnation> m_agentIncarnations;

    std::uint64_t m_lastCallId = 0;
    std::optional<open_call> m_call;
    time_point m_nextCallAt = time_point::min();
    // Nothing is written while the lease has this revision.
    std::optional<row_revision> m_blockedRevision;
    // Orders found so far by a read that needs several pages, and the key at which the next page begins.
    std::map<runner_id, stored_order> m_readOrders;
    std::string m_nextPageKey;
    std::vector<log_action> m_log;
};

}
