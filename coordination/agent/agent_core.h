#pragma once

#include "coordination/agent/agent_action.h"
#include "coordination/agent/agent_settings.h"
#include "coordination/agent/attempt_ledger.h"
#include "coordination/attempt_id.h"
#include "coordination/call_failure.h"
#include "coordination/messages/peer_message.h"
#include "coordination/queueing/request_queue.h"
#include "coordination/queueing/token_usage.h"
#include "coordination/routing/load_report.h"
#include "state/ids.h"
#include "state/runner.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sardinelb {

// The decisions of one agent, the only authority for its runner: what to accept, when to dispatch, and what became of
// each attempt. Events come in as calls; what has to be done is collected by takeActions(). Pure state machine; not
// safe for use from several threads.
//
// Guarantees:
// - An attempt is dispatched at most once, except that an idempotent stream may be stopped and resumed at its next token.
// - After a refusal, a finish with NotRun, or a `cancelled` with `neverDispatched`, the attempt is never dispatched.
// - While draining, no attempt is dispatched that was not dispatched before.
class agent_core {
public:
    explicit agent_core(agent_settings);

    // Applies the state that the operators want. Until the first call, no work is taken.
    void configure(runner_target, time_point now);

    // The runner can or cannot be reached.
    void onRunnerReachabilityChanged(bool reachable, time_point now);

    // A connection from the entry was authenticated. Attempts of its earlier incarnations are given up.
    void onPeerConnected(const daemon_id& entry, incarnation, time_point now);
    void onPeerLost(const daemon_id& entry, time_point now);
    void onMessage(const daemon_id& entry, const peer_message&, time_point now);

    // Results of calls that takeActions() asked for.
    void onTokens(const attempt_id&, std::uint32_t call, std::uint32_t firstToken, std::uint32_t tokens,
        const std::string& bytes, time_point now);
    void onServiceAnswer(const attempt_id&, std::uint32_t call, int status, const std::string& contentType,
        const std::string& body, time_point now);
    void onCallCompleted(const attempt_id&, std::uint32_t call, const token_usage&, time_point now);
    void onCallFailed(const attempt_id&, std::uint32_t call, call_failure, const std::string& detail, time_point now);

    // Handles deadlines and periodic reports. Call it at least every 20 ms: when no event came for over 2 s, the process
    // was paused, and the core takes and dispatches nothing until the news of that time has been handled.
    void tick(time_point now);

    // Refuses new work from now on, as on a planned stop of the agent.
    void stopAccepting(time_point now);

    // True when no attempt is queued, running or paused and, during a planned stop, none is expected any more.
    bool isIdle() const;

    bool accepting() const;
    load_report load() const;

    // Returns what has to be done, in order, and forgets it.
    std::vector<agent_action> takeActions();

private:
    void submit(const daemon_id&, const submit_message&, time_point now);
    void cancel(const daemon_id&, const cancel_message&, time_point now);
    void query(const daemon_id&, const query_message&, time_point now);
    void credit(const credit_message&);
    void refuse(const daemon_id&, const attempt_id&, refusal_reason, time_point now);
    void refuseQueued(refusal_reason, time_point now);
    void noticeTime(time_point now);
    bool isCatchingUp() const;
    void pollQueue(time_point now);
    void perform(const queue_action&, time_point now);
    void startCall(attempt_record&, int priority);
    void stopCall(attempt_record&);
    void sendChunk(attempt_record&, chunk_message);
    void finish(attempt_record&, finish_message, time_point now);
    void finishNotRun(attempt_record&, const std::string& detail, time_point now);
    void abandon(const attempt_id&, attempt_record&, time_point now);
    void abandonOrphans(time_point now);
    void reportLoad(time_point now);
    attempt_record* currentCall(const attempt_id&, std::uint32_t call);
    refusal_reason reasonToRefuse() const;
    void log(std::string part, const attempt_id&, const std::string& text);
    void send(const daemon_id&, peer_message);

    agent_settings m_settings;
    request_queue m_queue;
    attempt_ledger m_ledger;
    // A restarted agent may stand beside a drained runner, so it serves only once the configuration says so.
    runner_target m_target = runner_target::Stopped;
    bool m_runnerReachable = true;
    bool m_stopping = false;
    // During a planned stop, until when submits may be on their way from entries that do not know of it.
    std::optional<time_point> m_lateSubmitsUntil;
    std::optional<time_point> m_lastEvent;
    // After a pause of the process, until when changes of the configuration may not have been handled yet.
    time_point m_caughtUpAt {};
    std::map<daemon_id, incarnation> m_connectedEntries;
    time_point m_nextLoadReport {};
    time_point m_nextOrphanCheck {};
    std::vector<agent_action> m_actions;
};

}
