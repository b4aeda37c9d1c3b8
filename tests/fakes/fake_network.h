#pragma once

#include "coordination/messages/peer_message.h"
#include "state/ids.h"
#include "state/time.h"
#include "tests/fakes/event_queue.h"
#include "tests/fakes/network_port.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <utility>

namespace sardinelb::fakes {

// Connections between entries and agents. Messages of one connection arrive in order, after a delay, or are lost with
// the connection. Entries dial again after a loss; a connection replaces its predecessor at the agent.
class fake_network {
public:
    // How soon the ends notice that a connection is cut.
    enum class loss_notice {
        // As after a reset.
        Prompt,
        // As with frames that vanish: after the silence timeout of the transport.
        Silent,
    };

    explicit fake_network(event_queue&);
    ~fake_network();
    fake_network(const fake_network&) = delete;
    fake_network& operator=(const fake_network&) = delete;

    void addEntry(const daemon_id&, network_port);
    void addAgent(const daemon_id&, network_port);

    // Sends over the connection that exists when the network takes the message; without one, the message is lost.
    void send(const daemon_id& from, const daemon_id& to, const peer_message&);

    // Breaks the connection; what is on its way is lost. A blocked pair stays unconnected until restore().
    void cut(const daemon_id& entry, const daemon_id& agent, loss_notice, bool block);
    void restore(const daemon_id& entry, const daemon_id& agent);

    // Sets the one-way delay between the two.
    void setDelay(const daemon_id& entry, const daemon_id& agent, duration);

    // Time that messages of the process wait before the network takes them.
    void setSendDelay(const daemon_id&, duration);

    // Whether messages of a broken connection arrive nevertheless, some time later. The transport does not do this.
    void deliverLostFrames(bool deliver) { m_deliversLostFrames = deliver; }

    // From now on some messages are lost or arrive late and out of order, while their connections go on. The transport
    // does not do this; what callers are told must be true nevertheless.
    void injectMessageFaults(std::uint64_t seed);

    // The process has ended. Its last messages still arrive if it closed its connections in order.
    void onProcessEnded(const daemon_id&, bool inOrder);
    void onProcessStarted(const daemon_id&);
    void onProcessPaused(const daemon_id&);
    void onProcessResumed(const daemon_id&);

private:
    struct endpoint;
    struct connection;
    struct link;
    struct member;
    using connection_ptr = std::shared_ptr<connection>;
    using message_ptr = std::shared_ptr<const peer_message>;

    link& linkBetween(const daemon_id& a, const daemon_id& b);
    endpoint& endpointOf(connection&, const link&, const daemon_id&) const;
    const daemon_id& peerOf(const link&, const daemon_id&) const;
    void transmit(const daemon_id& from, const daemon_id& to, const message_ptr&);
    // Time until the message arrives, or nothing when it is lost.
    std::optional<duration> faultyDelay();
    void arrive(link&, const connection_ptr&, const daemon_id& at, const message_ptr&);
    void noticeLoss(link&, const connection_ptr&, const daemon_id& at);
    void handleLoss(link&, connection&, const daemon_id& at);
    void closeAfterSilence(link&, const daemon_id& paused);
    void scheduleDial(link&);
    void dial(link&);

    template <typename Visit>
    void forEachLinkOf(const daemon_id&, Visit&&);

    event_queue& m_events;
    bool m_deliversLostFrames = false;
    std::optional<std::mt19937_64> m_messageFaults;
    std::map<daemon_id, std::unique_ptr<member>> m_members;
    std::map<std::pair<daemon_id, daemon_id>, std::unique_ptr<link>> m_links;
};

}
