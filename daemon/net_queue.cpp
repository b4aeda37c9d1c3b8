#include "daemon/net_queue.h"

#include "transport/net_thread.h"

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <chrono>
#include <thread>
#include <utility>

namespace sardinelb {

namespace {

constexpr std::chrono::microseconds fullQueuePause(50);

}

struct net_queue::implementation {
    implementation(net_thread& thread, std::size_t capacity)
        : net(thread)
        , queue(capacity)
    {
    }

    void drain()
    {
        scheduled = false;
        std::function<void()> work;
        while (queue.pop(work))
            work();
    }

    net_thread& net;
    boost::lockfree::spsc_queue<std::function<void()>> queue;
    // Whether a posted drain() has not started yet.
    std::atomic<bool> scheduled { false };
};

net_queue::net_queue(net_thread& net, std::size_t capacity)
    : m_implementation(std::make_shared<implementation>(net, capacity))
{
}

net_queue::~net_queue() = default;

void net_queue::post(const std::function<void()>& work)
{
    while (!m_implementation->queue.push(work))
        std::this_thread::sleep_for(fullQueuePause);
    if (!m_implementation->scheduled.exchange(true))
        m_implementation->net.post([self = m_implementation] { self->drain(); });
}

}
