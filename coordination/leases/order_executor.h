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

// Issues orders as the holder of a lease. Pure state machine; not safe for use from several threads.
//
// A runner has at most one pending order, and its row is in the table before the agent can learn of it. All writes are
// conditional on the revision of the lease, so that none takes effect after the lease has changed hands. A new holder
// reads all rows, adopts pending orders by writing its own fencing number into them, and only then issues more. After a
// write of unknown outcome nothing is written until the lease was renewed, which makes that write impossible, and the
// rows were read again.
class order_executor {
public:
    explicit order_executor(order_timing);

    // Queues a command. False, with no effect, when the rows are not known or the runner is busy.
    bool request(const order_command&);

    // Notes the incarnation of the agent beside the runner.
    void agentHeard(const runner_id&, incarnation);

    // Call at least every 100 ms, and after each answer.
    std::vector<order_action> tick(const lease_view&, time_point now);

    // Takes the answer to a call. Answers to earlier calls are ignored.
    void answered(const table_answer&, time_point now);

    // Whether the rows are known, so that commands are taken.
    bool isSynced() const { return m_isSynced; }

    // Whether the runner has a pending order or a queued command.
    bool isBusy(const runner_id&) const;

    // The runner's latest order, if it ever had one.
    std::optional<runner_order> latest(const runner_id&) const;

private:
    // Latest order of a runner as last read or written.
    struct stored_order {
        runner_order order;
        row_revision revision;
        time_point nextMessage = time_point::min();
    };

    // The call that awaits its answer.
    struct open_call {
        std::uint64_t id = 0;
        time_point sentAt;
        // Lease revision that the write depends on; nothing for a read.
        std::optional<row_revision> leaseRevision;
        // The order that is written.
        runner_order order;
    };

    void loseLease();
    void giveUnknown();
    void expireCall(time_point now);
    std::optional<table_call> nextCall(const lease_view&, time_point now);
    std::optional<table_call> adoption(const lease_view&, time_point now);
    std::optional<table_call> insertion(const lease_view&, time_point now);
    table_call readCall(time_point now);
    table_call writeCall(const runner_order&, const lease_view&, time_point now);
    void notePage(const table_answer&, time_point now);
    void noteRows();
    void addMessages(std::vector<order_action>&, const lease_view&, time_point now);
    void log(std::string text);

    order_timing m_timing;
    fencing_number m_number;
    bool m_isSynced = false;
    std::map<runner_id, stored_order> m_orders;
    std::map<runner_id, order_command> m_commands;
    std::map<runner_id, incarnation> m_agents;

    std::uint64_t m_lastCall = 0;
    std::optional<open_call> m_call;
    time_point m_nextCall = time_point::min();
    // Nothing is written while the lease has this revision.
    std::optional<row_revision> m_blockedRevision;
    // Rows of a read that needs several pages, and where the next page begins.
    std::map<runner_id, stored_order> m_pages;
    std::string m_pageFrom;
    std::vector<log_action> m_log;
};

}
