#pragma once

#include "coordination/coordination_error.h"
#include "coordination/maps/map_history.h"
#include "coordination/maps/map_history_reader.h"
#include "coordination/maps/map_readiness.h"
#include "coordination/maps/map_switch_settings.h"
#include "coordination/maps/map_table_request.h"
#include "coordination/maps/map_weights_order.h"
#include "coordination/messages/map_decision_message.h"
#include "coordination/messages/map_prepare_message.h"
#include "coordination/messages/map_prepared_message.h"
#include "state/ids.h"
#include "state/state_error.h"
#include "state/table_row.h"
#include "state/time.h"

#include <cstdint>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace sardinelb {

// Action that the owner of a rank's state machine has to carry out: a table request, a message to send, or an order to
// load or release weights.
using map_rank_action = std::variant<map_table_request, map_prepared_message, map_weights_order>;

// Determines which expert map one incarnation of a rank uses in each step. The safety argument is in
// map_switch_coordinator.h. Pure state machine, not thread-safe. After every call the owner carries out takeActions()
// and schedules poll() for nextDeadline().
class map_switch_rank {
public:
    // A restarted or replacement process must have a higher incarnation than all previous ones of the rank. Call poll()
    // to start.
    map_switch_rank(map_switch_settings, rank_id, incarnation);

    // Enters the step if possible. Returns the version of the map to use in it, or nothing if the rank has to wait and
    // retry. The engine calls this when it has finished the previous step.
    std::optional<map_version> tryEnterStep(step_number, time_point now);

    void onPrepare(const map_prepare_message&, time_point now);
    void onDecision(const map_decision_message&, time_point now);

    // Must be called when the experts that the map places on this rank are loaded.
    void onWeightsLoaded(map_version, time_point now);

    // Results of table requests. Those of obsolete requests are ignored.
    void onRowsRead(std::uint64_t request, const state_result<std::vector<table_row>>&, time_point now);
    void onWriteResult(std::uint64_t request, const state_result<row_revision>&, time_point now);

    // Resends unanswered messages, retries failed table requests and reads the table if a decision is overdue.
    void poll(time_point now);

    // Time at which poll() must be called, if any.
    std::optional<time_point> nextDeadline() const;

    // Returns the pending actions in order and clears them.
    std::vector<map_rank_action> takeActions();

    // Whether a later incarnation of the rank has registered. This one then enters no further step.
    bool isSuperseded() const;

    // Error that blocks the rank, such as a row that cannot be parsed. For logging.
    const std::optional<coordination_error>& lastError() const;

private:
    enum class phase {
        ReadingRegistration,
        Registering,
        // Registered; reading proposals and decisions for the first time.
        ReadingHistory,
        Ready,
        Superseded,
    };

    // Promise not to enter the first step of a map before its decision is known.
    struct promise {
        map_version version;
        step_number firstStep;
    };

    step_number lowestEnterableStep() const;
    bool hasPendingPromise() const;
    bool isBlocked(step_number) const;
    void issueNextRequest();
    void issueRequest(map_table_request);
    void issueRegistration();
    void scheduleRetry(time_point now);
    void onRegistrationRead(const std::vector<table_row>&, time_point now);
    void onRegistrationParsed(incarnation registered, row_revision);
    void onRegistered(row_revision);
    void readHistory();
    void onHistoryPageRead(const std::vector<table_row>&, time_point now);
    void readDecision();
    void onDecisionRead(const state_result<std::vector<table_row>>&, time_point now);
    void advance(time_point now);
    void updateCoordinator(const daemon_id&, fencing_number);
    void answerProposal(const map_proposal&, time_point now);
    bool canPreload() const;
    void orderLoad(const map_proposal&);
    void releaseUnused();
    bool isNeeded(map_version) const;
    void sendAnswer(map_version, map_readiness);

    map_switch_settings m_settings;
    rank_id m_rank;
    incarnation m_incarnation;
    std::vector<map_rank_action> m_actions;

    phase m_phase = phase::ReadingRegistration;
    // Revision of the registration row: of the row to replace until this incarnation is registered, then of its own.
    row_revision m_registration;
    // Coordinator with the highest fencing number seen, which receives the answers.
    daemon_id m_coordinator;
    fencing_number m_fencing;

    // 0 if no table request is pending.
    std::uint64_t m_pendingRequestId = 0;
    std::uint64_t m_lastRequestId = 0;
    bool m_isReadingDecision = false;
    std::optional<time_point> m_retryAt = time_point {};
    std::optional<map_history_reader> m_reader;
    map_history m_history;
    std::optional<coordination_error> m_lastError;

    // Highest step that the engine has asked to enter, and highest step entered; nothing and 0 before the first.
    std::optional<step_number> m_requestedStep;
    step_number m_enteredStep;
    std::optional<promise> m_promise;
    // Last refused proposal.
    map_version m_refusedVersion;
    time_point m_resendAt {};
    time_point m_nextDecisionReadAt {};
    // Versions whose weights the agent was told to load, and those of them that are loaded.
    std::set<map_version> m_orderedVersions;
    std::set<map_version> m_loadedVersions;
};

}
