#pragma once

#include <cstdint>
#include <random>
#include <stdexcept>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sardinelb::test {

// Finds ports of 127.0.0.1 that no other test process uses. A port below the ephemeral range is not taken by outgoing
// connections, and as long as this process lives it keeps the same port of 127.0.0.2 bound, by which other test processes see
// that it is taken.
class port_reservation {
public:
    // Returns the first of `count` consecutive ports, or throws if none are free.
    static std::uint16_t reserve(std::uint16_t count)
    {
        constexpr int maxAttempts = 1000;
        for (int attempt = 0; attempt < maxAttempts; ++attempt) {
            const std::uint16_t first = randomPort();
            if (const auto sockets = bindAll(first, count); !sockets.empty())
                return first;
        }
        throw std::runtime_error("no free ports for a test");
    }

private:
    static constexpr std::uint16_t lowestPort = 12000;
    static constexpr std::uint16_t highestPort = 32000;

    static std::uint16_t randomPort()
    {
        static std::mt19937 random(std::random_device {}());
        return std::uniform_int_distribution<std::uint16_t>(lowestPort, highestPort)(random);
    }

    static int bindPort(const char* ip, std::uint16_t port)
    {
        const int socketHandle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, ip, &address.sin_addr);
        if (::bind(socketHandle, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0)
            return socketHandle;
        ::close(socketHandle);
        return -1;
    }

    // Returns the reserving sockets, which stay open, or nothing if a port is taken.
    static std::vector<int> bindAll(std::uint16_t first, std::uint16_t count)
    {
        std::vector<int> reserved;
        for (std::uint16_t port = first; port < first + count; ++port) {
            const int guard = bindPort("127.0.0.2", port);
            const int probe = guard < 0 ? -1 : bindPort("127.0.0.1", port);
            if (guard >= 0)
                reserved.push_back(guard);
            if (probe >= 0)
                ::close(probe);
            if (probe >= 0)
                continue;
            for (const int socketHandle : reserved)
                ::close(socketHandle);
            return {};
        }
        return reserved;
    }
};

}
