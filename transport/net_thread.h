#pragma once

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace sardinelb {

// The thread that performs all network I/O of a process. All functions of the transport layer run on it, unless a
// declaration allows calls from any thread.
class net_thread {
public:
    net_thread();
    // Stops the thread and closes open connections.
    ~net_thread();
    net_thread(const net_thread&) = delete;
    net_thread& operator=(const net_thread&) = delete;

    // Starts handling events. Set up servers and connections before this call or in functions passed to post().
    void start();

    // Stops the thread; posted functions that have not run are dropped.
    void stop();

    // Runs the function on the thread. May be called from any thread.
    void post(std::function<void()>);

    boost::asio::io_context& context();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

}
