#pragma once

#include "platform/settings.h"

#include <memory>

#include <boost/asio/io_context.hpp>

namespace sardinelb {

class event_log;

// The program beside a model runner: tells the entries of the runner's load, and the coordinator of its group of its expert
// map and of the demand for experts. The agent of the lowest rank that is heard of is the coordinator; the
// next one is its deputy, which hears the same and takes over when the coordinator falls silent.
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
