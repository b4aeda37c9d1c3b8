#include "tests/fakes/fake_network.h"

#include "tests/fakes/process_host.h"

#include <algorithm>
#include <chrono>

namespace sardinelb::fakes {

namespace {

using namespace std::chrono_literals;

constexpr duration defaultDelay = 1ms;
// Minimum distance between messages of one connection.
constexpr duration frameGap = 10us;
constexpr duration promptNotice = 1ms;
// As in the transport.
constexpr duration silenceTimeout = 4s;
constexpr duration redialDelay = 60ms;
constexpr duration lostFrameDelay = 400ms;
constexpr duration maxFaultyDelay = 1500ms;

}

// One endpoint of a connection.
struct fake_network::endpoint {
    bool open = false;
    bool dropsIncoming = false;
    // Latest arrival time of any message so far.
    time_point lastArrival {};
};

struct fake_network::connection {
    endpoint entry;
    endpoint agent;
    bool handshaking = true;
};

struct fake_network::link {
    daemon_id entry;
    daemon_id agent;
    duration delay = defaultDelay;
    bool blocked = false;
    bool dialPending = false;
    connection_ptr current;
};

struct fake_network::member {
    network_port port;
    bool isEntry = false;
    duration sendDelay {};
    time_point lastSend {};
};

fake_network::fake_network(event_queue& events)
    : m_events(events)
{
}

fake_network::~fake_network() = default;

void fake_network::addEntry(const daemon_id& id, network_port port)
{
    m_members[id] = std::make_unique<member>(member { std::move(port), true });
    for (const auto& [other, known] : m_members) {
        if (!known->isEntry)
            m_links[{ id, other }] = std::make_unique<link>(link { id, other, defaultDelay, false, false, nullptr });
    }
}

void fake_network::addAgent(const daemon_id& id, network_port port)
{
    m_members[id] = std::make_unique<member>(member { std::move(port), false });
    for (const auto& [other, known] : m_members) {
        if (known->isEntry)
            m_links[{ other, id }] = std::make_unique<link>(link { other, id, defaultDelay, false, false, nullptr });
    }
}

fake_network::link& fake_network::linkBetween(const daemon_id& a, const daemon_id& b)
{
    return m_members.at(a)->isEntry ? *m_links.at({ a, b }) : *m_links.at({ b, a });
}

fake_network::endpoint& fake_network::endpointOf(connection& at, const link& of, const daemon_id& id) const
{
    return of.entry == id ? at.entry : at.agent;
}

const daemon_id& fake_network::peerOf(const link& of, const daemon_id& id) const
{
    return of.entry == id ? of.agent : of.entry;
}

template <typename Visit>
void fake_network::forEachLinkOf(const daemon_id& id, Visit&& visit)
{
    for (auto& [ends, known] : m_links) {
        if (ends.first == id || ends.second == id)
            visit(*known);
    }
}

void fake_network::setSendDelay(const daemon_id& id, duration delay) { m_members.at(id)->sendDelay = delay; }

void fake_network::setDelay(const daemon_id& entry, const daemon_id& agent, duration delay)
{
    linkBetween(entry, agent).delay = delay;
}

void fake_network::send(const daemon_id& from, const daemon_id& to, const peer_message& content)
{
    const auto message = std::make_shared<const peer_message>(content);
    member& sender = *m_members.at(from);
    sender.lastSend = std::max(sender.lastSend, m_events.now() + sender.sendDelay);
    if (sender.lastSend == m_events.now()) {
        transmit(from, to, message);
        return;
    }
    m_events.at(sender.lastSend, [this, from, to, message, lifetime = sender.port.host->lifetime()] {
        const process_host& host = *m_members.at(from)->port.host;
        if (host.isAlive() && host.lifetime() == lifetime)
            transmit(from, to, message);
    });
}

void fake_network::transmit(const daemon_id& from, const daemon_id& to, const message_ptr& message)
{
    link& over = linkBetween(from, to);
    const connection_ptr used = over.current;
    if (!used || !endpointOf(*used, over, from).open)
        return;
    if (m_messageFaults) {
        if (const auto delay = faultyDelay())
            m_events.after(over.delay + *delay, [this, &over, used, to, message] { arrive(over, used, to, message); });
        return;
    }
    endpoint& target = endpointOf(*used, over, to);
    target.lastArrival = std::max(m_events.now() + over.delay, target.lastArrival + frameGap);
    m_events.at(target.lastArrival, [this, &over, used, to, message] { arrive(over, used, to, message); });
}

void fake_network::injectMessageFaults(std::uint64_t seed) { m_messageFaults.emplace(seed); }

std::optional<duration> fake_network::faultyDelay()
{
    constexpr int lostPercent = 2;
    constexpr int latePercent = 15;
    const int drawn = std::uniform_int_distribution<int>(0, 99)(*m_messageFaults);
    if (drawn < lostPercent)
        return std::nullopt;
    if (drawn >= lostPercent + latePercent)
        return duration::zero();
    return duration(std::uniform_int_distribution<duration::rep>(0, maxFaultyDelay.count())(*m_messageFaults));
}

void fake_network::arrive(link& over, const connection_ptr& used, const daemon_id& at, const message_ptr& message)
{
    process_host& host = *m_members.at(at)->port.host;
    const auto passToProcess
        = [this, &over, at, message] { m_members.at(at)->port.onMessage(peerOf(over, at), *message); };
    if (!endpointOf(*used, over, at).dropsIncoming) {
        host.deliver([this, &over, used, at, passToProcess] {
            if (endpointOf(*used, over, at).open || m_deliversLostFrames)
                passToProcess();
        });
    } else if (m_deliversLostFrames) {
        m_events.after(lostFrameDelay,
            [&host, passToProcess, lifetime = host.lifetime()] { host.deliverTo(lifetime, passToProcess); });
    }
}

void fake_network::cut(const daemon_id& entry, const daemon_id& agent, loss_notice notice, bool block)
{
    link& over = linkBetween(entry, agent);
    over.blocked = over.blocked || block;
    const connection_ptr broken = over.current;
    if (!broken)
        return;
    broken->entry.dropsIncoming = true;
    broken->agent.dropsIncoming = true;
    m_events.after(notice == loss_notice::Prompt ? promptNotice : silenceTimeout, [this, &over, broken] {
        noticeLoss(over, broken, over.entry);
        noticeLoss(over, broken, over.agent);
    });
}

void fake_network::restore(const daemon_id& entry, const daemon_id& agent)
{
    link& over = linkBetween(entry, agent);
    over.blocked = false;
    scheduleDial(over);
}

void fake_network::noticeLoss(link& over, const connection_ptr& broken, const daemon_id& at)
{
    endpointOf(*broken, over, at).dropsIncoming = true;
    m_members.at(at)->port.host->deliver([this, &over, broken, at] { handleLoss(over, *broken, at); });
    scheduleDial(over);
}

void fake_network::handleLoss(link& over, connection& broken, const daemon_id& at)
{
    endpoint& own = endpointOf(broken, over, at);
    if (!std::exchange(own.open, false))
        return;
    m_members.at(at)->port.onConnectionLost(peerOf(over, at));
    scheduleDial(over);
}

void fake_network::onProcessEnded(const daemon_id& id, bool deliversSent)
{
    forEachLinkOf(id, [&](link& over) {
        const connection_ptr broken = over.current;
        if (!broken)
            return;
        endpoint& own = endpointOf(*broken, over, id);
        own.open = false;
        own.dropsIncoming = true;
        const daemon_id& peer = peerOf(over, id);
        endpoint& other = endpointOf(*broken, over, peer);
        other.dropsIncoming = other.dropsIncoming || !deliversSent;
        const time_point noticed = std::max(m_events.now(), other.lastArrival) + over.delay;
        m_events.at(noticed, [this, &over, broken, peer] { noticeLoss(over, broken, peer); });
    });
}

void fake_network::onProcessStarted(const daemon_id& id)
{
    forEachLinkOf(id, [this](link& over) { scheduleDial(over); });
}

void fake_network::onProcessPaused(const daemon_id& id)
{
    const process_host& host = *m_members.at(id)->port.host;
    m_events.after(silenceTimeout, [this, id, &host, lifetime = host.lifetime(), number = host.pauses()] {
        if (host.lifetime() != lifetime || host.pauses() != number || !host.isPaused())
            return;
        forEachLinkOf(id, [&](link& over) { closeAfterSilence(over, id); });
    });
}

void fake_network::closeAfterSilence(link& over, const daemon_id& paused)
{
    const connection_ptr broken = over.current;
    if (!broken)
        return;
    noticeLoss(over, broken, peerOf(over, paused));
    noticeLoss(over, broken, paused);
}

void fake_network::onProcessResumed(const daemon_id& id) { onProcessStarted(id); }

void fake_network::scheduleDial(link& over)
{
    if (std::exchange(over.dialPending, true))
        return;
    m_events.after(redialDelay, [this, &over] {
        over.dialPending = false;
        dial(over);
    });
}

void fake_network::dial(link& over)
{
    process_host& entry = *m_members.at(over.entry)->port.host;
    process_host& agent = *m_members.at(over.agent)->port.host;
    if (over.blocked || !entry.isRunning() || !agent.isRunning())
        return;
    if (over.current) {
        const bool entryIsUnaware = over.current->entry.open;
        const bool isUnderWay = over.current->handshaking && over.current->agent.open && !over.current->entry.dropsIncoming;
        if (entryIsUnaware || isUnderWay)
            return;
        agent.deliver([this, &over, replaced = over.current] { handleLoss(over, *replaced, over.agent); });
    }
    const auto fresh = std::make_shared<connection>();
    over.current = fresh;
    fresh->agent.open = true;
    fresh->entry.lastArrival = m_events.now() + over.delay;
    m_events.at(fresh->entry.lastArrival,
        [this, &over, fresh, &entry, lifetime = entry.lifetime(), agentLifetime = agent.lifetime()] {
            fresh->handshaking = false;
            if (!fresh->agent.open || fresh->entry.dropsIncoming) {
                scheduleDial(over);
                return;
            }
            entry.deliverTo(lifetime, [this, &over, fresh, agentLifetime] {
                fresh->entry.open = true;
                m_members.at(over.entry)->port.onConnected(over.agent, incarnation(agentLifetime));
            });
        });
    agent.deliver([this, &over, number = entry.lifetime()] {
        m_members.at(over.agent)->port.onConnected(over.entry, incarnation(number));
    });
}

}
