#include "transport/peer_links.h"

#include "protocol/frame_codec.h"
#include "tests/support/event_wait.h"
#include "tests/support/net_fixture.h"
#include "tests/support/raw_connection.h"
#include "transport/handshake.h"

#include <gtest/gtest.h>

#include <cstring>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace sardinelb {

namespace {

const std::string key = "0123456789abcdef";
const peer_identity agent { daemon_id("agent-0"), incarnation(1) };
const peer_identity entry { daemon_id("entry-0"), incarnation(2) };

std::string withLengthPrefix(const std::string& payload)
{
    const auto size = static_cast<std::uint32_t>(payload.size());
    std::string bytes(sizeof(size), '\0');
    std::memcpy(bytes.data(), &size, sizeof(size));
    return bytes + payload;
}

std::string readLengthPrefixed(raw_connection& connection)
{
    const std::string length = connection.receiveBytes(4);
    std::uint32_t size = 0;
    std::memcpy(&size, length.data(), length.size());
    return connection.receiveBytes(size);
}

std::string cancelFrame(const peer_identity& sender, std::uint32_t number)
{
    return withLengthPrefix(encodeFrame(
        { sender.daemon, sender.number, config_version(1), cancel_message { { request_id("r"), number } } }));
}

// The links of one agent and the events that their hooks reported.
class peer_links_test : public testing::Test {
protected:
    ~peer_links_test() override
    {
        net.run([this] {
            links.reset();
            return 0;
        });
    }

    std::uint16_t listen()
    {
        peer_links::hooks hooks;
        hooks.onPeerConnected = [this](const peer_identity& peer) { recordEvent("connected " + peer.daemon.value()); };
        hooks.onPeerLost = [this](const daemon_id& peer) { recordEvent("lost " + peer.value()); };
        hooks.onFrame = [this](const daemon_id& peer, const frame& onMessage) {
            if (const auto* cancel = std::get_if<cancel_message>(&onMessage.message))
                recordEvent(peer.value() + " cancels " + std::to_string(cancel->attempt.number));
        };
        hooks.onRejected = [this](const transport_error& error) { recordEvent("rejected " + error.subject); };
        hooks.onOversize = [this](const transport_error& error) { recordEvent("oversize " + error.subject); };
        links = std::make_unique<peer_links>(net.net(), agent, key, std::move(hooks), limits);
        port = net.run([this] { return links->listen({ "127.0.0.1", 0 }).value(); });
        return port;
    }

    void recordEvent(const std::string& event)
    {
        events.change([&] { recorded.push_back(event); });
    }

    // Waits until the recorded events equal `expected`.
    bool waitForEvents(const std::vector<std::string>& expected)
    {
        return events.until([&] { return recorded == expected; });
    }

    // Connects as a peer that proves its identity with this key.
    raw_connection dialAs(const peer_identity& self, const std::string& withKey = key, int receiveBufferBytes = 0) const
    {
        auto connection = raw_connection::to(port, receiveBufferBytes);
        const auto challenge = readChallenge(readLengthPrefixed(connection));
        connection.send(withLengthPrefix(makeProof(withKey, true, self, challenge.value(), makeNonce())));
        return connection;
    }

    // Like dialAs(), but also reads the proof of the acceptor.
    raw_connection connectAs(const peer_identity& self, int receiveBufferBytes = 0) const
    {
        auto connection = dialAs(self, key, receiveBufferBytes);
        readLengthPrefixed(connection);
        return connection;
    }

    void send(peer_message message)
    {
        net.run([&] {
            links->send(entry.daemon, message);
            return 0;
        });
    }

    net_fixture net;
    event_wait events;
    link_limits limits;
    std::unique_ptr<peer_links> links;
    std::uint16_t port = 0;
    // Guarded by `events`.
    std::vector<std::string> recorded;
};

TEST_F(peer_links_test, messagesOfAnAuthenticatedPeerArriveInOrder)
{
    listen();
    auto peer = connectAs(entry);
    peer.send(cancelFrame(entry, 1) + cancelFrame(entry, 2));
    EXPECT_TRUE(waitForEvents({ "connected entry-0", "entry-0 cancels 1", "entry-0 cancels 2" }));
}

TEST_F(peer_links_test, unauthenticatedPeerIsClosedAndReported)
{
    listen();
    auto unauthenticated = dialAs(entry, "fedcba9876543210");
    EXPECT_EQ(unauthenticated.receiveAll(), "");
    EXPECT_TRUE(waitForEvents({ "rejected handshake" }));
}

TEST_F(peer_links_test, bytesThatAreNoHandshakeAreReported)
{
    listen();
    auto unauthenticated = raw_connection::to(port);
    unauthenticated.send("GET / HTTP/1.1\r\n\r\n");
    unauthenticated.receiveAll();
    EXPECT_TRUE(waitForEvents({ "rejected length" }));
}

// Guards against connections that an unauthenticated peer opens and leaves idle.
TEST_F(peer_links_test, silentUnauthenticatedPeerIsClosed)
{
    limits.handshakeTimeout = std::chrono::milliseconds(50);
    listen();
    auto unauthenticated = raw_connection::to(port);
    readLengthPrefixed(unauthenticated);
    EXPECT_EQ(unauthenticated.receiveAll(), "");
    EXPECT_TRUE(waitForEvents({ "rejected length" }));
}

// Guards against a message of an earlier connection that is delivered after one of a later connection.
TEST_F(peer_links_test, newConnectionReplacesTheOldOne)
{
    listen();
    auto first = connectAs(entry);
    first.send(cancelFrame(entry, 1));
    ASSERT_TRUE(waitForEvents({ "connected entry-0", "entry-0 cancels 1" }));
    // The first half of a frame is on the old connection when the new one is established.
    const std::string late = cancelFrame(entry, 2);
    first.send(late.substr(0, late.size() / 2));
    auto second = connectAs(entry);
    ASSERT_TRUE(waitForEvents({ "connected entry-0", "entry-0 cancels 1", "lost entry-0", "connected entry-0" }));
    first.send(late.substr(late.size() / 2) + cancelFrame(entry, 3));
    second.send(cancelFrame(entry, 4));
    EXPECT_TRUE(waitForEvents({ "connected entry-0", "entry-0 cancels 1", "lost entry-0", "connected entry-0",
        "entry-0 cancels 4" }));
    second.close();
    EXPECT_TRUE(waitForEvents({ "connected entry-0", "entry-0 cancels 1", "lost entry-0", "connected entry-0",
        "entry-0 cancels 4", "lost entry-0" }));
}

// The same for complete frames that the old connection had not delivered.
TEST_F(peer_links_test, undeliveredFramesOfTheOldConnectionAreDiscarded)
{
    listen();
    auto first = connectAs(entry);
    ASSERT_TRUE(waitForEvents({ "connected entry-0" }));
    auto second = raw_connection::to(port);
    const auto challenge = readChallenge(readLengthPrefixed(second));
    const std::string proof = withLengthPrefix(makeProof(key, true, entry, challenge.value(), makeNonce()));
    // While this blocks the network thread, the proof of the new connection and frames of the old one arrive. The proof is
    // sent here, because otherwise the new connection could be the one that is reset.
    net.run([&] {
        links->reset(entry.daemon);
        second.send(proof);
        first.send(cancelFrame(entry, 1) + cancelFrame(entry, 2));
        return 0;
    });
    readLengthPrefixed(second);
    second.send(cancelFrame(entry, 3));
    ASSERT_TRUE(events.until([this] { return !recorded.empty() && recorded.back() == "entry-0 cancels 3"; }));
    for (const std::string& event : events.read(recorded))
        EXPECT_TRUE(event != "entry-0 cancels 1" && event != "entry-0 cancels 2") << event;
}

// Guards against unbounded buffering for a peer that does not read.
TEST_F(peer_links_test, peerThatDoesNotReadIsDropped)
{
    limits.maxQueuedBytes = std::size_t { 1024 } * 1024;
    listen();
    auto peer = connectAs(entry, 4096);
    ASSERT_TRUE(waitForEvents({ "connected entry-0" }));
    const chunk_message chunk { { request_id("r"), 1 }, 0, 0, 0, std::string(std::size_t { 64 } * 1024, 'x') };
    // 32 MiB exceed the limit and the socket buffers together.
    constexpr int chunks = 512;
    for (int i = 0; i < chunks; ++i)
        send(chunk);
    EXPECT_TRUE(waitForEvents({ "connected entry-0", "rejected entry-0", "lost entry-0" }));
}

TEST_F(peer_links_test, oversizeLengthIsRejected)
{
    listen();
    auto peer = connectAs(entry);
    peer.send(std::string("\x01\x00\x10\x00", 4));
    peer.receiveAll();
    EXPECT_TRUE(waitForEvents({ "connected entry-0", "rejected length", "lost entry-0" }));
}

TEST_F(peer_links_test, frameThatCannotBeReadIsRejected)
{
    listen();
    auto peer = connectAs(entry);
    peer.send(withLengthPrefix("no frame"));
    peer.receiveAll();
    EXPECT_TRUE(waitForEvents({ "connected entry-0", "rejected frame", "lost entry-0" }));
}

// Guards against an authenticated daemon that sends in the name of another one.
TEST_F(peer_links_test, frameOfAnotherSenderIsRejected)
{
    listen();
    auto peer = connectAs(entry);
    peer.send(cancelFrame({ daemon_id("entry-1"), incarnation(1) }, 1));
    peer.receiveAll();
    EXPECT_TRUE(waitForEvents({ "connected entry-0", "rejected entry-1", "lost entry-0" }));
}

// Guards against an oversize message that makes the peer close the connection, again after every reconnect.
TEST_F(peer_links_test, oversizeMessageIsDroppedAndTheConnectionStays)
{
    listen();
    auto peer = connectAs(entry);
    ASSERT_TRUE(waitForEvents({ "connected entry-0" }));
    send(chunk_message { { request_id("r"), 1 }, 0, 0, 0, std::string(maxFrameBytes, 'x') });
    send(cancel_message { { request_id("r"), 7 } });
    EXPECT_TRUE(waitForEvents({ "connected entry-0", "oversize entry-0" }));
    while (true) {
        const std::string bytes = readLengthPrefixed(peer);
        ASSERT_LT(bytes.size(), maxFrameBytes);
        const auto onMessage = decodeFrame(bytes);
        ASSERT_TRUE(onMessage.has_value());
        if (const auto* cancel = std::get_if<cancel_message>(&onMessage.value().message)) {
            EXPECT_EQ(cancel->attempt.number, 7U);
            break;
        }
    }
}

TEST_F(peer_links_test, silentPeerIsLost)
{
    limits.heartbeatInterval = std::chrono::milliseconds(20);
    limits.silenceTimeout = std::chrono::milliseconds(100);
    listen();
    auto peer = connectAs(entry);
    EXPECT_TRUE(waitForEvents({ "connected entry-0", "lost entry-0" }));
}

// Guards against hooks that are called after their owner is gone.
TEST_F(peer_links_test, linksDestroyedWithOpenConnectionsCallNoHook)
{
    limits.handshakeTimeout = std::chrono::milliseconds(50);
    limits.heartbeatInterval = std::chrono::milliseconds(20);
    limits.silenceTimeout = std::chrono::milliseconds(40);
    listen();
    auto inHandshake = raw_connection::to(port);
    readLengthPrefixed(inHandshake);
    auto peer = connectAs(entry);
    ASSERT_TRUE(waitForEvents({ "connected entry-0" }));
    net.run([this] {
        links.reset();
        return 0;
    });
    EXPECT_EQ(inHandshake.receiveAll(), "");
    peer.send(cancelFrame(entry, 1));
    std::this_thread::sleep_for(std::chrono::milliseconds(150));
    EXPECT_EQ(events.read(recorded), std::vector<std::string> { "connected entry-0" });
}

// Guards against a connection that is established although disconnect() was called during its handshake.
TEST_F(peer_links_test, hangUpDuringTheHandshakeEndsIt)
{
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    ASSERT_EQ(bind(listener, reinterpret_cast<const sockaddr*>(&address), size), 0);
    ASSERT_EQ(::listen(listener, 1), 0);
    getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
    listen();
    net.run([&] {
        links->dial(entry.daemon, { "127.0.0.1", ntohs(address.sin_port) });
        return 0;
    });
    raw_connection accepted(accept(listener, nullptr, nullptr));
    const std::string nonce = makeNonce();
    accepted.send(withLengthPrefix(makeChallenge(nonce)));
    const std::string proof = readLengthPrefixed(accepted);
    std::string diallerNonce;
    ASSERT_TRUE(readProof(key, true, proof, nonce, diallerNonce).has_value());
    net.run([&] {
        links->disconnect(entry.daemon);
        return 0;
    });
    accepted.send(withLengthPrefix(makeProof(key, false, entry, nonce, diallerNonce)));
    EXPECT_EQ(accepted.receiveAll(), "");
    EXPECT_TRUE(events.read(recorded).empty());
    ::close(listener);
}

}

}
