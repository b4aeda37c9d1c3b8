#pragma once

#include "coordination/log_action.h"
#include "daemon/admin_api.h"
#include "daemon/configuration_feed.h"
#include "daemon/daemon_settings.h"
#include "daemon/decision_log.h"
#include "daemon/directory.h"
#include "daemon/metrics.h"
#include "daemon/net_queue.h"
#include "daemon/worker_thread.h"
#include "state/ids.h"
#include "state/table_service.h"
#include "state/time.h"
#include "transport/http_server.h"
#include "transport/net_thread.h"
#include "transport/peer_links.h"

#include <atomic>
#include <deque>
#include <functional>
#include <memory>

namespace sardinelb {

// Infrastructure shared by both daemon roles: the threads, the queues between them, the links to peers, the operator
// API and the configuration. The role supplies the hooks; they run on the decision thread unless marked otherwise.
class daemon_runtime {
public:
    struct hooks {
        std::function<void(std::shared_ptr<const directory>, time_point)> onConfiguration;
        std::function<void(const peer_identity&, time_point)> onPeerConnected;
        std::function<void(const daemon_id&, time_point)> onPeerLost;
        std::function<void(const daemon_id&, const frame&, time_point)> onFrame;
        std::function<void(time_point)> onTick;
        // Performs the actions collected by the role's core.
        std::function<void()> performActions;
        std::function<std::string()> status;
        std::function<bool()> isReady; // network thread
    };

    daemon_runtime(const daemon_settings&, hooks);
    ~daemon_runtime();
    daemon_runtime(const daemon_runtime&) = delete;
    daemon_runtime& operator=(const daemon_runtime&) = delete;

    // Binds the addresses and starts the threads. Error: BadAddress.
    transport_result<void> start();

    // Stops the threads. Queued work may be lost, so call it after all requests have ended.
    void stop();

    // Runs an event on the decision thread and performs the resulting actions. Call from the network thread. Returns
    // false, and does nothing, if the queue to the decision thread is full.
    bool postEvent(const std::function<void(time_point)>& event);
    // Like postEvent(), for an event that must not be lost: if the queue is full, the event is kept until there is
    // space. While such events are pending, postEvent() returns false, which preserves the order.
    void postOrderedEvent(std::function<void(time_point)> event);
    // Like postEvent(), from the main thread.
    bool postEventFromMain(std::function<void(time_point)> event);

    // Calls the table on the store thread and passes the result to `then` on the decision thread. Call from the
    // decision thread. If the queue to the store thread is full, `then` is called at once with an Unavailable error.
    template <typename Result>
    void callTable(std::function<Result(const table_service&)> call, std::function<void(const Result&, time_point)> then);

    // Runs a function on the network thread. Call from the decision thread.
    void postToNet(const std::function<void()>&);

    // Whether the settings list the daemon as an entry.
    bool isEntry(const daemon_id&) const;

    void log(const log_action&);

    net_thread& net() { return m_net; }
    peer_links& links() { return *m_links; }
    metrics& counters() { return m_metrics; }
    incarnation ownIncarnation() const { return m_incarnation; }
    const daemon_settings& settings() const { return m_settings; }

    static time_point now();

private:
    bool postToDecisionThread(const std::function<void(time_point)>&);
    void drainPendingEvents();
    bool postToStore(const std::function<void()>&);
    bool postEventFromStore(const std::function<void(time_point)>&);
    void runEvent(const std::function<void(time_point)>&);
    void onFrame(const daemon_id&, frame);
    configuration_feed::hooks feedHooks();

    daemon_settings m_settings;
    hooks m_hooks;
    incarnation m_incarnation;
    metrics m_metrics;
    decision_log m_decisions;
    net_thread m_net;
    net_queue m_netQueue;
    std::unique_ptr<peer_links> m_links;
    std::unique_ptr<admin_api> m_admin;
    std::unique_ptr<http_server> m_adminServer;
    std::unique_ptr<configuration_feed> m_feed;
    std::unique_ptr<worker_thread> m_decisionThread;
    std::unique_ptr<worker_thread> m_storeThread;
    // Events that did not fit into the queue to the decision thread. Used only on the network thread.
    std::deque<std::function<void(time_point)>> m_pendingEvents;
    double m_peerCount = 0;
    table_service m_table;
};

template <typename Result>
void daemon_runtime::callTable(
    std::function<Result(const table_service&)> call, std::function<void(const Result&, time_point)> then)
{
    const bool isPosted = postToStore([this, call, then] {
        postEventFromStore([result = call(m_table), then](time_point at) { then(result, at); });
    });
    if (!isPosted)
        then(state_error { state_errc::Unavailable, "store thread", "its queue is full" }, now());
}

}
