#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace sardinelb {

// Blocking loopback TCP connection for tests that send malformed or partial requests. A read throws after a timeout
// that only ends a stuck test.
class raw_connection {
public:
    // Takes ownership of a connected socket.
    explicit raw_connection(int descriptor)
        : m_descriptor(descriptor)
    {
        constexpr int stuckSeconds = 30;
        const timeval bound { stuckSeconds, 0 };
        setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &bound, sizeof(bound));
    }

    ~raw_connection() { close(); }
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;
    raw_connection(raw_connection&& other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
        , m_received(std::move(other.m_received))
    {
    }
    raw_connection& operator=(raw_connection&&) = delete;

    // Connects to a port of 127.0.0.1. `receiveBufferBytes` above 0 sets the size of the receive buffer.
    static raw_connection to(std::uint16_t port, int receiveBufferBytes = 0)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        if (receiveBufferBytes > 0)
            setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
            throw std::runtime_error("cannot connect");
        return raw_connection(descriptor);
    }

    // Sends all bytes. Returns false when the peer has closed the connection.
    bool send(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const auto sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    // Returns the bytes up to and including `mark`, or all bytes if the peer closes the connection first.
    std::string receiveUntil(const std::string& mark)
    {
        std::size_t end = m_received.find(mark);
        while (end == std::string::npos) {
            if (!receiveSome())
                return std::exchange(m_received, {});
            end = m_received.find(mark);
        }
        std::string bytes = m_received.substr(0, end + mark.size());
        m_received.erase(0, bytes.size());
        return bytes;
    }

    // Returns `count` bytes, or fewer if the peer closes the connection first.
    std::string receiveBytes(std::size_t count)
    {
        while (m_received.size() < count && receiveSome()) { }
        std::string bytes = m_received.substr(0, count);
        m_received.erase(0, bytes.size());
        return bytes;
    }

    // Returns all bytes until the peer closes the connection.
    std::string receiveAll()
    {
        while (receiveSome()) { }
        return std::exchange(m_received, {});
    }

    // Whether bytes have arrived that were not returned yet, or arrive within `time`. The end of the connection counts as none.
    bool hasBytes(std::chrono::milliseconds time)
    {
        if (!m_received.empty())
            return true;
        pollfd watched { m_descriptor, POLLIN, 0 };
        char byte = 0;
        return poll(&watched, 1, static_cast<int>(time.count())) > 0 && recv(m_descriptor, &byte, 1, MSG_PEEK) > 0;
    }

    // Closes the connection so that the peer sees a reset.
    void reset()
    {
        const linger discard { 1, 0 };
        setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
        close();
    }

    void shutdownSend() const { shutdown(m_descriptor, SHUT_WR); }

    void close()
    {
        if (m_descriptor >= 0)
            ::close(std::exchange(m_descriptor, -1));
    }

private:
    // Returns false when the peer has closed or reset the connection.
    bool receiveSome()
    {
        constexpr std::size_t blockBytes = 4096;
        std::array<char, blockBytes> block {};
        const auto count = recv(m_descriptor, block.data(), block.size(), 0);
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            throw std::runtime_error("nothing was received; so far: " + m_received);
        if (count <= 0)
            return false;
        m_received.append(block.data(), static_cast<std::size_t>(count));
        return true;
    }

    int m_descriptor;
    std::string m_received;
};

}
