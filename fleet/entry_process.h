#pragma once

#include "platform/settings.h"

#include <memory>

#include <boost/asio/io_context.hpp>

namespace sardinelb {

class event_log;

// The program of a machine that callers reach: follows configuration and runners, and relays requests.
class entry_process {
public:
    entry_process(boost::asio::io_context&, platform::settings, event_log&);
    ~entry_process();

    // Returns false if an address cannot be listened on.
    bool start();

    // Begins a graceful stop; the io_context runs out of work when the last request has ended.
    void stop();

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

}
