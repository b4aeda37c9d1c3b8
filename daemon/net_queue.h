#pragma once

#include <cstddef>
#include <functional>
#include <memory>

namespace sardinelb {

class net_thread;

// The bounded ring from one thread to the net thread. When it is full, the sender waits: the net thread never waits for
// another thread, so the ring always empties.
class net_queue {
public:
    net_queue(net_thread&, std::size_t capacity);
    ~net_queue();
    net_queue(const net_queue&) = delete;
    net_queue& operator=(const net_queue&) = delete;

    // Runs the function on the net thread. Only one thread may call it.
    void post(const std::function<void()>&);

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

}
