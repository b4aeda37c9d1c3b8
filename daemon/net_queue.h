#pragma once

#include <cstddef>
#include <functional>
#include <memory>

namespace sardinelb {

class net_thread;

// Bounded queue from one thread to the network thread. When it is full, the sender blocks; this cannot deadlock,
// because the network thread never waits for another thread.
class net_queue {
public:
    net_queue(net_thread&, std::size_t capacity);
    ~net_queue();
    net_queue(const net_queue&) = delete;
    net_queue& operator=(const net_queue&) = delete;

    // Runs the function on the network thread. Always call it from the same thread: the queue has a single producer.
    void post(const std::function<void()>&);

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

}
