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

// Something that the owner of a coordinator has to do: access the table, or send a message.
using map_coordinator_action = std::variant<map_table_request, map_prepare_message, map_decision_message>;

// Switches the ranks of one group from one expert map to the next: writes the proposal, has all ranks prepare it, and
// writes the decision. Pure state machine; not safe for use from several threads. After every call the owner carries
// out takeActions() and calls poll() at nextDeadline().
//
// Safety. The claim is that all ranks use the same map in every completed step, namely M(n): the newest committed map
// whose first step is at most n. The table is the only memory; rows of proposals and decisions are written once.
//
// (1) There is one decision per version, because its row is inserted on condition that it is absent. At most one
//     version is undecided, because a proposal is written on condition that the version before it has its decision.
// (2) Each incarnation of a rank registers in a row of its own before it reads proposals and decisions, and names
//     the row's revision when it answers "prepared". A commit is written on condition that every rank still has the
//     revision that it named. So at the instant of the commit of v, the incarnation registered last of every rank has
//     promised not to enter the first step s of v, or a later one, before it knows the decision.
// (3) Let incarnation i of a rank take part in the completed step n >= s. If i made the promise of (2), it knew of the
//     commit. If i registered later, it read the commit before its first step. If i registered earlier, then the
//     incarnation that promised has not been asked for a step while i takes part, and an incarnation that has not been
//     asked for a step makes no promise; when it is asked after n is complete, it is asked for a step beyond s and
//     refuses. So i has used v or a newer map in n. Applied to every committed version, this is the claim.
// (4) M never falls with n, because it is a maximum over a growing set.
//
// The engine has to keep three rules: a step completes only when one incarnation of every rank has entered it; once it
// has asked an incarnation for a step, it no longer uses what older incarnations of the rank were told; and it asks a
// newcomer for no step that has completed.
//
// Neither the lease nor any clock is needed for safety. The condition on the lease row keeps a coordinator that acts
// after losing the lease from disturbing the next one. Which coordinator writes the decision does not matter: the
// successor continues with the proposal that it finds undecided.
class map_switch_coordinator {
public:
    map_switch_coordinator(map_switch_settings, daemon_id self);

    // The daemon holds the lease `group/<g>/lease` with the fencing number, and the row has the revision. Call it after
    // acquisition and after every renewal.
    void onLeaseHeld(fencing_number, row_revision);

    // The lease has lapsed or was given up. Nothing is written or sent until onLeaseHeld() is called.
    void onLeaseLost();

    // Starts the switch to a map and returns its version. Errors: LeaseLost; Duplicate (a switch is under way); Invalid
    // (the map is not well-formed, or the first step is not beyond the steps entered, or no rank has been seen in the
    // first step of the map in force).
    coordination_result<map_version> propose(
        std::vector<std::vector<expert_map::replica>> experts, step_number firstStep);

    // A rank has entered the step.
    void onStepEntered(step_number);

    void onPrepared(const map_prepared_message&);

    // Results of table requests. Those of requests that are no longer of interest are ignored.
    void onRowsRead(std::uint64_t request, const state_result<std::vector<table_row>>&, time_point now);
    void onWriteResult(std::uint64_t request, const state_result<row_revision>&, time_point now);

    // Sends what is due again and aborts a proposal that was not prepared in time.
    void poll(time_point now);

    // Time at which poll() must be called if nothing else happens.
    std::optional<time_point> nextDeadline() const;

    // Returns what has to be done, in order, and forgets it.
    std::vector<map_coordinator_action> takeActions();

    // Whether the lease is held and no switch is under way.
    bool isIdle() const;

    // The map committed last, or nothing. The group may not have reached its first step yet.
    std::shared_ptr<const expert_map> committedMap() const;

    std::optional<map_decision> lastDecision() const;

    // What hinders the coordinator, such as a row that cannot be parsed. For the log.
    const std::optional<coordination_error>& lastError() const;

private:
    enum class phase {
        // The lease is not held.
        Inactive,
        // Reads proposals and decisions.
        Reading,
        Idle,
        // Writes the proposal.
        Proposing,
        // Waits for the answers of the ranks.
        Preparing,
        // Writes the decision.
        Deciding,
    };

    struct rank_state {
        // Answer to the proposal under way.
        std::optional<map_prepared_message> answer;
        // Answers of older incarnations are known to be outdated.
        incarnation minimumIncarnation;
    };

    coordination_result<void> checkProposal(const expert_map&, step_number firstStep) const;
    void reset();
    void issue();
    void issueRequest(map_table_request);
    void retryLater(time_point now);
    void startReading();
    void issueProposal();
    void issueDecision();
    void conflict(const std::string& key, time_point now);
    void leaseConflict();
    void rankReplaced(rank_id, time_point now);
    void writeSucceeded(row_revision, time_point now);
    void historyRead(time_point now);
    void resumeProposing();
    void startPreparing(time_point now);
    void sendPrepares();
    void sendPrepare(rank_id);
    void sendDecision(rank_id, const map_decision&);
    void broadcastDecision();
    void checkAnswers();
    void decide(map_outcome);

    map_switch_settings m_settings;
    daemon_id m_self;
    std::vector<map_coordinator_action> m_actions;

    phase m_phase = phase::Inactive;
    fencing_number m_fencing;
    row_revision m_leaseRevision;
    // Revision of the lease that the transaction under way is conditional on.
    row_revision m_leaseRevisionUsed;
    // The lease row has changed; writes wait for onLeaseHeld() or onLeaseLost().
    bool m_isLeaseDoubtful = false;

    // Table request under way; 0 when there is none.
    std::uint64_t m_request = 0;
    std::uint64_t m_lastRequest = 0;
    std::optional<time_point> m_retryAt;
    std::optional<map_history_reader> m_reader;
    map_history m_history;
    std::optional<coordination_error> m_lastError;

    step_number m_reachedStep;
    // Proposal being written.
    std::optional<map_proposal> m_proposal;
    // Version that the answers in m_ranks are about.
    map_version m_preparing;
    std::vector<rank_state> m_ranks;
    time_point m_prepareUntil {};
    time_point m_resendAt {};
    map_outcome m_outcome = map_outcome::Abort;
};

}
