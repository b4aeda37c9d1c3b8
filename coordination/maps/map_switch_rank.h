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

// Something that the owner of a rank's state machine has to do: access the table, send a message, or load weights.
using map_rank_action = std::variant<map_table_request, map_prepared_message, map_weights_order>;

// Decides for one incarnation of one rank which expert map it uses in each step. The safety argument is in
// map_switch_coordinator.h. Pure state machine; not safe for use from several threads. After every call the owner
// carries out takeActions() and calls poll() at nextDeadline().
class map_switch_rank {
public:
    // A restarted or replacing process must have a higher incarnation than all before it. Call poll() to begin.
    map_switch_rank(map_switch_settings, rank_id, incarnation);

    // Whether the rank may enter the step: returns the version of the map to use in it, or nothing when the rank has to
    // wait and ask again. The engine asks for a step when it has finished the one before. With an answer the rank
    // counts as having entered the step.
    std::optional<map_version> tryEnterStep(step_number, time_point now);

    void onPrepare(const map_prepare_message&, time_point now);
    void onDecision(const map_decision_message&, time_point now);

    // The experts that the map places on this rank are loaded.
    void onWeightsLoaded(map_version, time_point now);

    // Results of table requests. Those of requests that are no longer of interest are ignored.
    void onRowsRead(std::uint64_t request, const state_result<std::vector<table_row>>&, time_point now);
    void onWriteResult(std::uint64_t request, const state_result<row_revision>&, time_point now);

    // Sends what is due again and reads the table when a decision is overdue.
    void poll(time_point now);

    // Time at which poll() must be called if nothing else happens.
    std::optional<time_point> nextDeadline() const;

    // Returns what has to be done, in order, and forgets it.
    std::vector<map_rank_action> takeActions();

    // Whether a later incarnation of the rank has registered. This one then enters no step any more.
    bool isSuperseded() const;

    // What hinders the rank, such as a row that cannot be parsed. For the log.
    const std::optional<coordination_error>& lastError() const;

private:
    enum class phase {
        ReadingRegistration,
        Registering,
        // Registered; reads proposals and decisions for the first time.
        ReadingHistory,
        Ready,
        Superseded,
    };

    // Not to enter the first step of a map before its decision is known.
    struct promise {
        map_version version;
        step_number firstStep;
    };

    step_number lowestOpenStep() const;
    bool hasOpenPromise() const;
    bool isHeldUp(step_number) const;
    void issue();
    void issueRequest(map_table_request);
    void issueRegistration();
    void retryLater(time_point now);
    void registrationRead(const std::vector<table_row>&, time_point now);
    void registrationParsed(incarnation registered, row_revision);
    void registered(row_revision);
    void readHistory();
    void historyPageRead(const std::vector<table_row>&, time_point now);
    void readDecision();
    void decisionRead(const state_result<std::vector<table_row>>&, time_point now);
    void advance(time_point now);
    void learnCoordinator(const daemon_id&, fencing_number);
    void answerProposal(const map_proposal&, time_point now);
    bool mayLoadAhead() const;
    void load(const map_proposal&);
    void releaseUnused();
    bool isNeeded(map_version) const;
    void sendAnswer(map_version, map_readiness);

    map_switch_settings m_settings;
    rank_id m_rank;
    incarnation m_incarnation;
    std::vector<map_rank_action> m_actions;

    phase m_phase = phase::ReadingRegistration;
    // Revision of the registration row: the one to replace until this incarnation is registered, then its own.
    row_revision m_registration;
    // Coordinator with the highest fencing number seen; answers go to it.
    daemon_id m_coordinator;
    fencing_number m_fencing;

    // Table request under way; 0 when there is none.
    std::uint64_t m_request = 0;
    std::uint64_t m_lastRequest = 0;
    bool m_isReadingDecision = false;
    std::optional<time_point> m_retryAt = time_point {};
    std::optional<map_history_reader> m_reader;
    map_history m_history;
    std::optional<coordination_error> m_lastError;

    // Highest step asked for and entered; nothing and 0 before the first.
    std::optional<step_number> m_asked;
    step_number m_entered;
    std::optional<promise> m_promise;
    // Proposal refused last.
    map_version m_refused;
    time_point m_answerAgainAt {};
    time_point m_readAgainAt {};
    // Versions whose weights were ordered, and those of them that are loaded.
    std::set<map_version> m_ordered;
    std::set<map_version> m_loaded;
};

}
