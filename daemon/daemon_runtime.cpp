#include "daemon/daemon_runtime.h"

#include "daemon/configuration_feed.h"
#include "daemon/logger.h"
#include "protocol/error_response.h"
#include "transport/http_exchange.h"
#include "transport/table_client.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace sardinelb {

namespace {

constexpr std::size_t queueCapacity = 16384;
constexpr std::chrono::milliseconds decisionTickInterval(5);
// The store thread has no periodic work; it wakes up periodically to check whether it should stop.
constexpr std::chrono::milliseconds storeTickInterval(1000);

// Daemons persist no counter, so the clock makes each incarnation higher than the previous one.
incarnation makeIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return incarnation(static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count()));
}

}

daemon_runtime::daemon_runtime(const daemon_settings& settings, hooks callbacks)
    : m_settings(settings)
    , m_hooks(std::move(callbacks))
    , m_incarnation(makeIncarnation())
    , m_netQueue(m_net, queueCapacity)
{
    peer_links::hooks linkHooks;
    linkHooks.onPeerConnected = [this](const peer_identity& peer) {
        m_metrics.setConnectedPeers(++m_peerCount);
        postOrderedEvent([this, peer](time_point at) {
            log({ "peer", {}, "Connected to " + peer.daemon.value() + "." });
            m_feed->onPeerConnected(peer.daemon);
            m_hooks.onPeerConnected(peer, at);
        });
    };
    linkHooks.onPeerLost = [this](const daemon_id& peer) {
        m_metrics.setConnectedPeers(--m_peerCount);
        postOrderedEvent([this, peer](time_point at) {
            log({ "peer", {}, "Lost the connection to " + peer.value() + "." });
            m_feed->onPeerLost(peer);
            m_hooks.onPeerLost(peer, at);
        });
    };
    linkHooks.onFrame = [this](const daemon_id& peer, frame incoming) { onFrame(peer, std::move(incoming)); };
    linkHooks.onBytesSent = [this](std::size_t bytes) { m_metrics.countPeerBytes(static_cast<double>(bytes)); };
    linkHooks.isIdle = [this](const daemon_id& peer) { return isEntry(m_settings.id) && isEntry(peer); };
    linkHooks.onRejected = [this](const transport_error& error) {
        m_metrics.countRejectedConnection();
        logWarning("peer", "Closed a connection: " + error.subject + ": " + error.detail + ".");
    };
    linkHooks.onOversize = [](const transport_error& error) {
        logWarning("peer", "Dropped a message to " + error.subject + ": " + error.detail + ".");
    };
    m_links = std::make_unique<peer_links>(
        m_net, peer_identity { m_settings.id, m_incarnation }, m_settings.clusterKey, std::move(linkHooks));

    admin_api::hooks adminHooks;
    adminHooks.isReady = m_hooks.isReady;
    adminHooks.status = [this](const std::function<void(std::string)>& answer) {
        return postEvent([this, answer](time_point) {
            postToNet([answer, text = m_hooks.status()] { answer(text); });
        });
    };
    adminHooks.push = [this](const std::string& change, const std::function<void(bool)>& answer) {
        const bool isPosted = postEvent([this, change, answer](time_point at) {
            postToNet([answer, holds = m_feed->push(change, at)] { answer(holds); });
        });
        if (!isPosted)
            answer(false);
    };
    m_admin = std::make_unique<admin_api>(m_settings.operatorKeyDigest, m_metrics, m_decisions, std::move(adminHooks));
    m_adminServer = std::make_unique<http_server>(
        m_net, http_limits {}, [this](const std::shared_ptr<http_exchange>& exchange) { m_admin->handle(exchange); },
        httpErrorBody);

    m_decisionThread = std::make_unique<worker_thread>(queueCapacity, decisionTickInterval, [this] {
        runEvent([this](time_point at) {
            m_feed->tick(at);
            m_hooks.onTick(at);
        });
    });
    m_storeThread = std::make_unique<worker_thread>(queueCapacity, storeTickInterval, [] {});
    config_spread_settings spread;
    spread.self = m_settings.id;
    spread.zone = m_settings.zone;
    m_table = makeTableClient(m_settings.tableAddress, m_settings.tableTimeout);
    m_feed = std::make_unique<configuration_feed>(spread, m_settings.entries, m_table, feedHooks());
}

configuration_feed::hooks daemon_runtime::feedHooks()
{
    configuration_feed::hooks feed;
    feed.send = [this](const daemon_id& to, const peer_message& message) {
        postToNet([this, to, message] { m_links->send(to, message); });
    };
    feed.runOnStoreThread = [this](const std::function<void()>& work) { return postToStore(work); };
    feed.runOnDecisionThread = [this](const std::function<void(time_point)>& event) { return postEventFromStore(event); };
    feed.onConfiguration = [this](const std::shared_ptr<const directory>& next) {
        m_metrics.setConfigVersion(static_cast<double>(next->config.version.value()));
        postToNet([this, version = next->config.version] { m_links->setVersion(version); });
        m_hooks.onConfiguration(next, now());
    };
    return feed;
}

daemon_runtime::~daemon_runtime()
{
    stop();
}

transport_result<void> daemon_runtime::start()
{
    if (auto bound = m_links->listen(m_settings.peerAddress); !bound)
        return bound.error();
    if (auto bound = m_adminServer->listen(m_settings.adminAddress); !bound)
        return bound.error();
    m_net.start();
    m_decisionThread->post(work_source::Main, [this] { runEvent([this](time_point at) { m_feed->start(at); }); });
    m_decisionThread->start();
    m_storeThread->start();
    return boost::outcome_v2::success();
}

void daemon_runtime::stop()
{
    // A running thread may post work to the others, so all threads stop before any of them is destroyed. The network
    // thread stops last: the decision thread waits for it while the queue between them is full.
    m_decisionThread->stop();
    m_storeThread->stop();
    m_net.stop();
}

bool daemon_runtime::isEntry(const daemon_id& daemon) const
{
    return std::any_of(m_settings.entries.begin(), m_settings.entries.end(),
        [&](const entry_address& entry) { return entry.id == daemon; });
}

bool daemon_runtime::postToStore(const std::function<void()>& work)
{
    return m_storeThread->post(work_source::Decision, work);
}

bool daemon_runtime::postEventFromStore(const std::function<void(time_point)>& event)
{
    return m_decisionThread->post(work_source::Store, [this, event] { runEvent(event); });
}

void daemon_runtime::runEvent(const std::function<void(time_point)>& event)
{
    event(now());
    m_hooks.performActions();
}

bool daemon_runtime::postEvent(const std::function<void(time_point)>& event)
{
    return m_pendingEvents.empty() && postToDecisionThread(event);
}

void daemon_runtime::postOrderedEvent(std::function<void(time_point)> event)
{
    if (postEvent(event))
        return;
    m_pendingEvents.push_back(std::move(event));
    if (m_pendingEvents.size() == 1)
        m_net.post([this] { drainPendingEvents(); });
}

bool daemon_runtime::postToDecisionThread(const std::function<void(time_point)>& event)
{
    return m_decisionThread->post(work_source::Net, [this, event] { runEvent(event); });
}

void daemon_runtime::drainPendingEvents()
{
    while (!m_pendingEvents.empty() && postToDecisionThread(m_pendingEvents.front()))
        m_pendingEvents.pop_front();
    if (!m_pendingEvents.empty())
        m_net.post([this] { drainPendingEvents(); });
}

bool daemon_runtime::postEventFromMain(std::function<void(time_point)> event)
{
    return m_decisionThread->post(work_source::Main, [this, event = std::move(event)] { runEvent(event); });
}

void daemon_runtime::onFrame(const daemon_id& peer, frame incoming)
{
    auto shared = std::make_shared<const frame>(std::move(incoming));
    const bool isPosted
        = postEvent([this, peer, shared](time_point at) {
              m_feed->onMessage(peer, shared->version, shared->message, at);
              m_hooks.onFrame(peer, *shared, at);
          });
    // A dropped frame would leave a gap in the message stream, whereas peers recover from a lost connection.
    if (!isPosted) {
        logWarning("peer", "Closed the connection to " + peer.value() + ": the queue to the decision thread is full.");
        m_links->reset(peer);
    }
}

void daemon_runtime::postToNet(const std::function<void()>& work)
{
    m_netQueue.post(work);
}

void daemon_runtime::log(const log_action& action)
{
    m_metrics.countDecision(action.part);
    logInfo(action.part, action.request, action.text);
    if (!action.request.value().empty())
        m_decisions.add(action.request, action.part + ": " + action.text);
}

time_point daemon_runtime::now()
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(sinceStart));
}

}
