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

// Connections between entries and agents. The messages of a connection arrive in order after a delay, or are lost with
// the connection. Entries reconnect after a loss; at the agent, a new connection replaces its predecessor.
class fake_network {
public:
    // How soon the endpoints notice that a connection is cut.
    enum class loss_notice {
        // Immediately, as after a reset.
        Prompt,
        // After the silence timeout of the transport, as when packets are dropped.
        Silent,
    };

    explicit fake_network(event_queue&);
    ~fake_network();
    fake_network(const fake_network&) = delete;
    fake_network& operator=(const fake_network&) = delete;

    void addEntry(const daemon_id&, network_port);
    void addAgent(const daemon_id&, network_port);

    // Sends over the connection that exists after the send delay; without a connection, the message is lost.
    void send(const daemon_id& from, const daemon_id& to, const peer_message&);

    // Breaks the connection; messages in transit are lost. A blocked pair stays disconnected until restore().
    void cut(const daemon_id& entry, const daemon_id& agent, loss_notice, bool block);
    void restore(const daemon_id& entry, const daemon_id& agent);

    // Sets the one-way delay between the entry and the agent.
    void setDelay(const daemon_id& entry, const daemon_id& agent, duration);

    // Sets the time that messages of the process wait before the network sends them.
    void setSendDelay(const daemon_id&, duration);

    // Whether messages of a broken connection still arrive, with a delay. The real transport never delivers them.
    void deliverLostFrames(bool deliver) { m_deliversLostFrames = deliver; }

    // From now on, some messages are lost or arrive late and out of order while their connections persist. The real
    // transport does not do this; the answers to callers must be correct nevertheless.
    void injectMessageFaults(std::uint64_t seed);

    // `deliversSent` says whether messages that the process has sent still arrive, as after an orderly close.
    void onProcessEnded(const daemon_id&, bool deliversSent);
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
    // Additional delay of a message, or nothing when the message is lost.
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
