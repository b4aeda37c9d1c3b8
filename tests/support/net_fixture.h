#pragma once

#include "transport/net_thread.h"

#include <functional>
#include <future>

namespace sardinelb {

// Network thread for tests of the transport layer.
class net_fixture {
public:
    net_fixture() { m_net.start(); }

    net_thread& net() { return m_net; }

    // Runs the function on the network thread and returns its result.
    template <typename Function>
    auto run(Function function)
    {
        std::packaged_task<decltype(function())()> task(std::move(function));
        auto result = task.get_future();
        m_net.post([&task] { task(); });
        return result.get();
    }

private:
    net_thread m_net;
};

}
