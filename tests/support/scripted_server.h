#pragma once

#include "tests/support/raw_connection.h"

#include <functional>
#include <thread>

namespace sardinelb {

// Loopback TCP server that runs a script for each connection, one connection at a time.
class scripted_server {
public:
    using script = std::function<void(raw_connection&)>;

    // Without a script, the port is reserved but all connections are refused.
    explicit scripted_server(script action = nullptr)
        : m_descriptor(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        bind(m_descriptor, reinterpret_cast<const sockaddr*>(&address), size);
        getsockname(m_descriptor, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
        if (!action)
            return;
        constexpr int backlog = 16;
        listen(m_descriptor, backlog);
        m_thread = std::thread([this, action = std::move(action)] { serve(action); });
    }

    ~scripted_server()
    {
        shutdown(m_descriptor, SHUT_RDWR);
        if (m_thread.joinable())
            m_thread.join();
        ::close(m_descriptor);
    }

    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    std::uint16_t port() const { return m_port; }

private:
    void serve(const script& action) const
    {
        while (true) {
            const int accepted = accept(m_descriptor, nullptr, nullptr);
            if (accepted < 0)
                return;
            raw_connection connection(accepted);
            action(connection);
        }
    }

    int m_descriptor;
    std::uint16_t m_port = 0;
    std::thread m_thread;
};

}
