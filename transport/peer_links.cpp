#include "transport/peer_links.h"

#include "protocol/frame_codec.h"
#include "transport/handshake.h"
#include "transport/net_thread.h"
#include "transport/open_listener.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <array>
#include <chrono>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace sardinelb {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t lengthBytes = 4;

std::string withLengthPrefix(const std::string& payload)
{
    const auto size = boost::endian::native_to_little(static_cast<std::uint32_t>(payload.size()));
    std::string bytes(reinterpret_cast<const char*>(&size), lengthBytes);
    return bytes + payload;
}

transport_error connectionLost(const std::string& subject, const boost::system::error_code& error)
{
    return { transport_errc::ConnectionLost, subject, error.message() };
}

}

struct peer_links::implementation : std::enable_shared_from_this<peer_links::implementation> {
    // A connection during or after its handshake.
    struct connection {
        explicit connection(tcp::socket connected)
            : socket(std::move(connected))
            , writable(socket.get_executor())
            , deadline(socket.get_executor())
        {
        }

        void close()
        {
            boost::system::error_code ignored;
            isClosed = true;
            socket.close(ignored);
            writable.cancel();
            deadline.cancel();
        }

        tcp::socket socket;
        asio::steady_timer writable;
        asio::steady_timer deadline;
        peer_identity peer;
        std::string outgoing;
        // Size of the write in progress.
        std::size_t writingBytes = 0;
        bool isClosed = false;
        std::chrono::milliseconds heartbeatInterval { 0 };
        std::chrono::milliseconds silenceTimeout { 0 };
        std::chrono::steady_clock::time_point lastReceived = std::chrono::steady_clock::now();
    };

    using connection_ptr = std::shared_ptr<connection>;

    // A peer to which a connection is maintained. Each change of address gets a new generation, which ends the older
    // dial loop.
    struct dialled_peer {
        socket_address address;
        std::uint64_t generation = 0;
    };

    implementation(
        asio::io_context& context, peer_identity own, std::string key, hooks callbacks, link_limits bounds)
        : io(context)
        , acceptor(context)
        , self(std::move(own))
        , sharedKey(std::move(key))
        , handlers(std::move(callbacks))
        , limits(bounds)
        , jitter(std::random_device {}())
    {
    }

    // Closes everything and calls no handler from then on. Coroutines that still run end by themselves.
    void shutDown();
    connection_ptr createConnection(tcp::socket);

    asio::awaitable<void> acceptLoop();
    asio::awaitable<void> serveAccepted(connection_ptr);
    asio::awaitable<void> dialLoop(daemon_id, std::uint64_t generation);
    asio::awaitable<bool> dialOnce(const daemon_id&, std::uint64_t generation, const socket_address&);
    asio::awaitable<transport_result<std::string>> readLengthPrefixed(connection&, std::size_t limit);
    asio::awaitable<transport_result<peer_identity>> handshakeAsAcceptor(connection&);
    asio::awaitable<transport_result<peer_identity>> handshakeAsDialler(connection&);
    asio::awaitable<void> serve(connection_ptr);
    asio::awaitable<void> writeLoop(connection_ptr);
    asio::awaitable<void> watchForSilence(connection_ptr);
    asio::awaitable<void> enforceHandshakeTimeout(connection_ptr);
    bool isWanted(const daemon_id&, std::uint64_t generation) const;
    void setCurrentConnection(const connection_ptr&);
    void removeConnection(const connection_ptr&);
    void enqueue(connection&, const peer_message&);

    asio::io_context& io;
    tcp::acceptor acceptor;
    peer_identity self;
    std::string sharedKey;
    hooks handlers;
    link_limits limits;
    config_version version;
    std::map<daemon_id, connection_ptr> connections;
    // All connections, including those whose handshake is not complete.
    std::vector<std::weak_ptr<connection>> open;
    bool isShutDown = false;
    std::map<daemon_id, dialled_peer> dialled;
    std::uint64_t lastGeneration = 0;
    std::minstd_rand jitter;
};

void peer_links::implementation::shutDown()
{
    isShutDown = true;
    boost::system::error_code ignored;
    acceptor.close(ignored);
    dialled.clear();
    connections.clear();
    handlers = { [](const peer_identity&) {}, [](const daemon_id&) {}, [](const daemon_id&, const frame&) {}, nullptr, nullptr,
        [](const transport_error&) {}, [](const transport_error&) {} };
    for (const auto& known : open) {
        if (const connection_ptr link = known.lock())
            link->close();
    }
}

peer_links::implementation::connection_ptr peer_links::implementation::createConnection(tcp::socket socket)
{
    auto link = std::make_shared<connection>(std::move(socket));
    std::erase_if(open, [](const auto& known) { return known.expired(); });
    open.push_back(link);
    return link;
}

asio::awaitable<void> peer_links::implementation::acceptLoop()
{
    const auto keepAlive = shared_from_this();
    while (acceptor.is_open()) {
        auto [error, socket] = co_await acceptor.async_accept(asTuple);
        if (error == asio::error::operation_aborted)
            co_return;
        if (!error && !isShutDown)
            asio::co_spawn(io, serveAccepted(createConnection(std::move(socket))), asio::detached);
    }
}

asio::awaitable<void> peer_links::implementation::serveAccepted(connection_ptr link)
{
    const auto keepAlive = shared_from_this();
    asio::co_spawn(io, enforceHandshakeTimeout(link), asio::detached);
    const auto peer = co_await handshakeAsAcceptor(*link);
    link->deadline.cancel();
    if (!peer) {
        link->close();
        handlers.onRejected(peer.error());
        co_return;
    }
    if (link->isClosed)
        co_return;
    link->peer = peer.value();
    co_await serve(link);
}

asio::awaitable<void> peer_links::implementation::enforceHandshakeTimeout(connection_ptr link)
{
    const auto keepAlive = shared_from_this();
    link->deadline.expires_after(limits.handshakeTimeout);
    auto [error] = co_await link->deadline.async_wait(asTuple);
    if (!error)
        link->close();
}

asio::awaitable<transport_result<std::string>> peer_links::implementation::readLengthPrefixed(
    connection& link, std::size_t limit)
{
    std::uint32_t size = 0;
    if (auto [error, bytes] = co_await asio::async_read(link.socket, asio::buffer(&size, lengthBytes), asTuple); error)
        co_return connectionLost("length", error);
    boost::endian::little_to_native_inplace(size);
    if (size > limit)
        co_return transport_error { transport_errc::BadMessage, "length",
            std::to_string(size) + " bytes; at most " + std::to_string(limit) + " are allowed" };
    std::string payload(size, '\0');
    if (auto [error, bytes] = co_await asio::async_read(link.socket, asio::buffer(payload), asTuple); error)
        co_return connectionLost("payload", error);
    co_return payload;
}

asio::awaitable<transport_result<peer_identity>> peer_links::implementation::handshakeAsAcceptor(connection& link)
{
    const std::string nonce = makeNonce();
    const std::string challenge = withLengthPrefix(makeChallenge(nonce));
    if (auto [error, bytes] = co_await asio::async_write(link.socket, asio::buffer(challenge), asTuple); error)
        co_return connectionLost("challenge", error);
    const auto text = co_await readLengthPrefixed(link, maxHandshakeBytes);
    if (!text)
        co_return text.error();
    std::string diallerNonce;
    auto peer = readProof(sharedKey, true, text.value(), nonce, diallerNonce);
    if (!peer)
        co_return peer.error();
    const std::string proof = withLengthPrefix(makeProof(sharedKey, false, self, nonce, diallerNonce));
    if (auto [error, bytes] = co_await asio::async_write(link.socket, asio::buffer(proof), asTuple); error)
        co_return connectionLost("proof", error);
    co_return peer;
}

asio::awaitable<transport_result<peer_identity>> peer_links::implementation::handshakeAsDialler(connection& link)
{
    const auto challengeText = co_await readLengthPrefixed(link, maxHandshakeBytes);
    if (!challengeText)
        co_return challengeText.error();
    const auto acceptorNonce = readChallenge(challengeText.value());
    if (!acceptorNonce)
        co_return acceptorNonce.error();
    std::string nonce = makeNonce();
    const std::string proof = withLengthPrefix(makeProof(sharedKey, true, self, acceptorNonce.value(), nonce));
    if (auto [error, bytes] = co_await asio::async_write(link.socket, asio::buffer(proof), asTuple); error)
        co_return connectionLost("proof", error);
    const auto answer = co_await readLengthPrefixed(link, maxHandshakeBytes);
    if (!answer)
        co_return answer.error();
    co_return readProof(sharedKey, false, answer.value(), acceptorNonce.value(), nonce);
}

// Makes this the current connection of its peer and closes the previous one.
void peer_links::implementation::setCurrentConnection(const connection_ptr& link)
{
    connection_ptr& current = connections[link->peer.daemon];
    if (current) {
        current->close();
        handlers.onPeerLost(link->peer.daemon);
    }
    current = link;
    handlers.onPeerConnected(link->peer);
}

void peer_links::implementation::removeConnection(const connection_ptr& link)
{
    link->close();
    const auto current = connections.find(link->peer.daemon);
    if (current == connections.end() || current->second != link)
        return;
    connections.erase(current);
    handlers.onPeerLost(link->peer.daemon);
}

asio::awaitable<void> peer_links::implementation::serve(connection_ptr link)
{
    const auto keepAlive = shared_from_this();
    boost::system::error_code ignored;
    link->socket.set_option(tcp::no_delay(true), ignored);
    const bool idle = handlers.isIdle && handlers.isIdle(link->peer.daemon);
    link->heartbeatInterval = idle ? limits.idleHeartbeatInterval : limits.heartbeatInterval;
    link->silenceTimeout = idle ? limits.idleSilenceTimeout : limits.silenceTimeout;
    setCurrentConnection(link);
    asio::co_spawn(io, writeLoop(link), asio::detached);
    asio::co_spawn(io, watchForSilence(link), asio::detached);
    while (!link->isClosed) {
        const auto payload = co_await readLengthPrefixed(*link, maxFrameBytes);
        if (link->isClosed)
            break;
        if (!payload) {
            if (payload.error().code == transport_errc::BadMessage)
                handlers.onRejected(payload.error());
            break;
        }
        link->lastReceived = std::chrono::steady_clock::now();
        auto decoded = decodeFrame(payload.value());
        if (!decoded) {
            handlers.onRejected(toTransportError(decoded.error()));
            break;
        }
        if (decoded.value().sender != link->peer.daemon) {
            handlers.onRejected({ transport_errc::Unauthenticated, decoded.value().sender.value(),
                "the sender of the frame is not the authenticated peer" });
            break;
        }
        handlers.onFrame(link->peer.daemon, std::move(decoded.value()));
    }
    removeConnection(link);
}

asio::awaitable<void> peer_links::implementation::writeLoop(connection_ptr link)
{
    const auto keepAlive = shared_from_this();
    while (!link->isClosed) {
        if (link->outgoing.empty()) {
            link->writable.expires_after(link->heartbeatInterval);
            auto [error] = co_await link->writable.async_wait(asTuple);
            if (!error && !link->isClosed)
                enqueue(*link, std::monostate());
            continue;
        }
        const std::string bytes = std::exchange(link->outgoing, {});
        link->writingBytes = bytes.size();
        auto [error, written] = co_await asio::async_write(link->socket, asio::buffer(bytes), asTuple);
        link->writingBytes = 0;
        if (error)
            break;
    }
    link->close();
}

asio::awaitable<void> peer_links::implementation::watchForSilence(connection_ptr link)
{
    const auto keepAlive = shared_from_this();
    while (!link->isClosed) {
        link->deadline.expires_after(link->heartbeatInterval);
        co_await link->deadline.async_wait(asTuple);
        if (std::chrono::steady_clock::now() - link->lastReceived > link->silenceTimeout)
            link->close();
    }
}

void peer_links::implementation::enqueue(connection& link, const peer_message& message)
{
    const std::string payload = encodeFrame({ self.daemon, self.number, version, message });
    // The peer would close the connection on an oversize frame, and other messages would be lost as well.
    if (payload.size() > maxFrameBytes) {
        handlers.onOversize({ transport_errc::BadMessage, link.peer.daemon.value(),
            "a message of " + std::to_string(payload.size()) + " bytes; at most " + std::to_string(maxFrameBytes)
                + " are allowed" });
        return;
    }
    link.outgoing += withLengthPrefix(payload);
    if (handlers.onBytesSent)
        handlers.onBytesSent(lengthBytes + payload.size());
    if (link.outgoing.size() + link.writingBytes > limits.maxQueuedBytes) {
        handlers.onRejected({ transport_errc::Timeout, link.peer.daemon.value(), "the peer reads too slowly" });
        link.close();
    }
}

bool peer_links::implementation::isWanted(const daemon_id& daemon, std::uint64_t generation) const
{
    const auto found = dialled.find(daemon);
    return found != dialled.end() && found->second.generation == generation;
}

asio::awaitable<void> peer_links::implementation::dialLoop(daemon_id daemon, std::uint64_t generation)
{
    const auto keepAlive = shared_from_this();
    asio::steady_timer timer(io);
    auto delay = limits.minRedialDelay;
    while (isWanted(daemon, generation)) {
        const socket_address address = dialled.at(daemon).address;
        const bool wasConnected = co_await dialOnce(daemon, generation, address);
        delay = wasConnected ? limits.minRedialDelay : std::min(2 * delay, limits.maxRedialDelay);
        std::uniform_int_distribution<long> spread(delay.count() / 2, delay.count());
        timer.expires_after(std::chrono::milliseconds(spread(jitter)));
        co_await timer.async_wait(asTuple);
    }
}

// Connects once and serves the connection until it closes. Returns whether the handshake succeeded.
asio::awaitable<bool> peer_links::implementation::dialOnce(
    const daemon_id& daemon, std::uint64_t generation, const socket_address& address)
{
    const auto link = createConnection(tcp::socket(io));
    asio::co_spawn(io, enforceHandshakeTimeout(link), asio::detached);
    const tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
    auto [error] = co_await link->socket.async_connect(endpoint, asTuple);
    if (error) {
        link->close();
        co_return false;
    }
    const auto peer = co_await handshakeAsDialler(*link);
    link->deadline.cancel();
    // disconnect() was called, or the address changed, during the handshake.
    if (!isWanted(daemon, generation)) {
        link->close();
        co_return false;
    }
    if (!peer || peer.value().daemon != daemon) {
        link->close();
        handlers.onRejected(peer ? transport_error { transport_errc::Unauthenticated, daemon.value(),
                                "another daemon, " + peer.value().daemon.value() + ", listens on " + toString(address) }
                                 : peer.error());
        co_return false;
    }
    link->peer = peer.value();
    co_await serve(link);
    co_return true;
}

peer_links::peer_links(
    net_thread& net, peer_identity self, std::string sharedKey, hooks callbacks, link_limits limits)
    : m_implementation(std::make_shared<implementation>(
        net.context(), std::move(self), std::move(sharedKey), std::move(callbacks), limits))
{
}

peer_links::~peer_links()
{
    m_implementation->shutDown();
}

transport_result<std::uint16_t> peer_links::listen(const socket_address& address)
{
    auto& acceptor = m_implementation->acceptor;
    auto port = openListener(acceptor, address);
    if (port)
        asio::co_spawn(m_implementation->io, m_implementation->acceptLoop(), asio::detached);
    return port;
}

void peer_links::dial(const daemon_id& daemon, const socket_address& address)
{
    auto& peer = m_implementation->dialled[daemon];
    if (peer.generation != 0 && toString(peer.address) == toString(address))
        return;
    peer = { address, ++m_implementation->lastGeneration };
    asio::co_spawn(m_implementation->io, m_implementation->dialLoop(daemon, peer.generation), asio::detached);
}

void peer_links::disconnect(const daemon_id& daemon)
{
    m_implementation->dialled.erase(daemon);
    reset(daemon);
}

void peer_links::reset(const daemon_id& daemon)
{
    const auto found = m_implementation->connections.find(daemon);
    if (found != m_implementation->connections.end())
        found->second->close();
}

void peer_links::setVersion(config_version version)
{
    m_implementation->version = version;
}

void peer_links::send(const daemon_id& daemon, const peer_message& message)
{
    const auto found = m_implementation->connections.find(daemon);
    if (found == m_implementation->connections.end() || found->second->isClosed)
        return;
    m_implementation->enqueue(*found->second, message);
    found->second->writable.cancel();
}

}
