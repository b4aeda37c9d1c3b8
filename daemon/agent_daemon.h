#pragma once

#include "daemon/daemon_settings.h"
#include "transport/transport_error.h"

#include <memory>

namespace sardinelb {

// Daemon in the agent role: controls one runner.
class agent_daemon {
public:
    explicit agent_daemon(const daemon_settings&);
    ~agent_daemon();
    agent_daemon(const agent_daemon&) = delete;
    agent_daemon& operator=(const agent_daemon&) = delete;

    // Binds the addresses and starts serving. Error: BadAddress.
    transport_result<void> start();

    // Graceful shutdown: refuses new attempts and lets accepted ones complete. Blocks until all have ended.
    void shutDown();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

}
