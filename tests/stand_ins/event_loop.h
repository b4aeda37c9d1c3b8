#pragma once

#include "state/time.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace sardinelb::stand_ins {

// Single-threaded event loop of a stand-in: sockets, timers and the clock.
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    // Current time of std::chrono::steady_clock.
    time_point now() const;

    // Calls the callback once, at the given time or as soon as possible after it.
    void callAt(time_point, std::function<void()> callback);

    // Runs until stop(), SIGINT or SIGTERM.
    void run();
    void stop();

    boost::asio::io_context& context();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

}
