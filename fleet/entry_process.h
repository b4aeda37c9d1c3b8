#pragma once

#include "platform/settings.h"

#include <memory>

#include <boost/asio/io_context.hpp>

namespace sardinelb {

class event_log;

// The entry process, to which callers connect. Follows the configuration and the list of runners, and relays requests to
// runners.
class entry_process {
public:
    entry_process(boost::asio::io_context&, platform::settings, event_log&);
    ~entry_process();

    // Returns false if an address cannot be listened on.
    bool start();

    // Starts a graceful stop. Stops the io_context when the last request has ended or the grace period is nearly over.
    void stop();

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

}
