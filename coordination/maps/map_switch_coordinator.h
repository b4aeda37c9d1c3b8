#pragma once

#include "coordination/coordination_error.h"
#include "coordination/maps/expert_map.h"
#include "coordination/maps/map_decision.h"
#include "coordination/maps/map_history.h"
#include "coordination/maps/map_history_reader.h"
#include "coordination/maps/map_proposal.h"
#include "coordination/maps/map_switch_settings.h"
#include "coordination/maps/map_table_request.h"
#include "coordination/messages/map_decision_message.h"
#include "coordination/messages/map_prepare_message.h"
#include "coordination/messages/map_prepared_message.h"
#include "state/ids.h"
#include "state/state_error.h"
#include "state/table_row.h"
#include "state/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sardinelb {

// Action that the owner of a coordinator has to carry out: a table request, or a message to send.
using map_coordinator_action = std::variant<map_table_request, map_prepare_message, map_decision_message>;

// Switches the ranks of one group from one expert map to the next in two phases: writes the proposal, waits until all
// ranks have prepared it, and writes the decision. Pure state machine, not thread-safe. After every call the owner
// carries out takeActions() and schedules poll() for nextDeadline().
//
// Safety. The claim is that all ranks use the same map in every completed step n, namely M(n): the newest committed map
// whose first step is at most n. The table is the only persistent state; rows of proposals and decisions are written
// once.
//
// (1) Each version has at most one decision, because its row is inserted on condition that it is absent. At most one
//     version is undecided, because a proposal is written on condition that the previous version is decided.
// (2) Each incarnation of a rank writes the registration row of the rank before it reads proposals and decisions, and
//     states the revision of that row when it answers "prepared". A commit is written on condition that the
//     registration row of every rank still has the revision that it stated. So when v is committed, the last registered
//     incarnation of every rank has promised not to enter the first step s of v, or a later step, before it knows the
//     decision.
// (3) Let incarnation i of a rank take part in the completed step n >= s. If i made the promise of (2), it knew of the
//     commit. If i registered later, it read the commit before its first step. If i registered earlier, then the
//     incarnation that promised has not been asked to enter a step while i takes part, and an incarnation that has not
//     been asked to enter a step makes no promise; if it is asked after n is complete, the step is beyond s and it
//     refuses. So i has used v or a newer map in n. Applied to every committed version, this is the claim.
// (4) M(n) never decreases with n, because it is a maximum over a growing set.
//
// The engine must follow three rules: a step completes only when one incarnation of every rank has entered it; once the
// engine has asked an incarnation to enter a step, it ignores the answers of older incarnations of the rank; and it
// does not ask a new incarnation to enter a step that has completed.
//
// Safety depends on neither the lease nor any clock. The condition on the lease row keeps a coordinator that has lost
// the lease from interfering with its successor. Any coordinator may write the decision: the successor continues with
// the undecided proposal that it finds.
class map_switch_coordinator {
public:
    map_switch_coordinator(map_switch_settings, daemon_id self);

    // Must be called after the daemon acquires the lease `group/<g>/lease` and after every renewal, with the fencing
    // number and the revision of the lease row.
    void onLeaseHeld(fencing_number, row_revision);

    // Must be called when the lease has expired or was released. Nothing is written or sent until onLeaseHeld() is
    // called.
    void onLeaseLost();

    // Starts the switch to a map and returns its version. Errors: LeaseLost; Duplicate (a switch is in progress);
    // Invalid (the map is malformed, its first step has already been entered, or no rank is known to have entered the
    // first step of the last committed map).
    coordination_result<map_version> propose(
        std::vector<std::vector<expert_map::replica>> experts, step_number firstStep);

    // Must be called when a rank has entered the step.
    void onStepEntered(step_number);

    void onPrepared(const map_prepared_message&);

    // Results of table requests. Those of obsolete requests are ignored.
    void onRowsRead(std::uint64_t request, const state_result<std::vector<table_row>>&, time_point now);
    void onWriteResult(std::uint64_t request, const state_result<row_revision>&, time_point now);

    // Resends unanswered messages, retries failed table requests and aborts a proposal that was not prepared in time.
    void poll(time_point now);

    // Time at which poll() must be called, if any.
    std::optional<time_point> nextDeadline() const;

    // Returns the pending actions in order and clears them.
    std::vector<map_coordinator_action> takeActions();

    // Whether the lease is held and no switch is in progress.
    bool isIdle() const;

    // The last committed map, or null. The group may not have reached its first step yet.
    std::shared_ptr<const expert_map> committedMap() const;

    std::optional<map_decision> lastDecision() const;

    // Error that blocks the coordinator, such as a row that cannot be parsed. For logging.
    const std::optional<coordination_error>& lastError() const;

private:
    enum class phase {
        // The lease is not held.
        Inactive,
        // Reading proposals and decisions.
        Reading,
        Idle,
        // Writing the proposal.
        Proposing,
        // Waiting for the answers of the ranks.
        Preparing,
        // Writing the decision.
        Deciding,
    };

    struct rank_state {
        // Answer to the current proposal.
        std::optional<map_prepared_message> answer;
        // Answers of incarnations below this are outdated and ignored.
        incarnation minimumIncarnation;
    };

    coordination_result<void> validateProposal(const expert_map&, step_number firstStep) const;
    void reset();
    void issueNextRequest();
    void issueRequest(map_table_request);
    void scheduleRetry(time_point now);
    void startReading();
    void issueProposal();
    void issueDecision();
    void onConflict(const std::string& key, time_point now);
    void onLeaseConflict();
    void onRankReplaced(rank_id, time_point now);
    void onWriteSucceeded(row_revision, time_point now);
    void onHistoryRead(time_point now);
    void resumeProposing();
    void startPreparing(time_point now);
    void sendPrepares();
    void sendPrepare(rank_id);
    void sendDecision(rank_id, const map_decision&);
    void broadcastDecision();
    void evaluateAnswers();
    void decide(map_outcome);

    map_switch_settings m_settings;
    daemon_id m_self;
    std::vector<map_coordinator_action> m_actions;

    phase m_phase = phase::Inactive;
    fencing_number m_fencing;
    row_revision m_leaseRevision;
    // Revision of the lease row that the pending transaction is conditional on.
    row_revision m_transactionLeaseRevision;
    // Set when the lease row has changed; table requests wait for onLeaseHeld() or onLeaseLost().
    bool m_isLeaseUncertain = false;

    // 0 if no table request is pending.
    std::uint64_t m_pendingRequestId = 0;
    std::uint64_t m_lastRequestId = 0;
    std::optional<time_point> m_retryAt;
    std::optional<map_history_reader> m_reader;
    map_history m_history;
    std::optional<coordination_error> m_lastError;

    step_number m_highestEnteredStep;
    // Proposal being written.
    std::optional<map_proposal> m_proposal;
    // Version that the answers in m_ranks refer to.
    map_version m_preparingVersion;
    std::vector<rank_state> m_ranks;
    time_point m_prepareDeadline {};
    time_point m_resendAt {};
    map_outcome m_outcome = map_outcome::Abort;
};

}
