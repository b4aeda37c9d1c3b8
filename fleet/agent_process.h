#pragma once

#include "platform/settings.h"

#include <memory>

#include <boost/asio/io_context.hpp>

namespace sardinelb {

class event_log;

// The agent process on the machine of a model runner. Reports the runner's load to the entries, and its expert map and the
// demand for experts to the coordinator of its group. The agent of the lowest rank that has been heard of recently is the
// coordinator; the agent of the next rank is the standby coordinator, which also receives the expert maps and takes over when
// the coordinator falls silent.
class agent_process {
public:
    agent_process(boost::asio::io_context&, platform::settings, event_log&);
    ~agent_process();

    // Returns false if a port cannot be bound.
    bool start();

    void stop();

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

}
