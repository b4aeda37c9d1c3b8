#pragma once

#include "daemon/daemon_settings.h"
#include "transport/transport_error.h"

#include <memory>

namespace sardinelb {

// Daemon in the entry role: accepts requests from callers.
class entry_daemon {
public:
    explicit entry_daemon(const daemon_settings&);
    ~entry_daemon();
    entry_daemon(const entry_daemon&) = delete;
    entry_daemon& operator=(const entry_daemon&) = delete;

    // Binds the addresses and starts serving. Error: BadAddress.
    transport_result<void> start();

    // Graceful shutdown: reports not ready, then rejects new requests and lets requests in flight complete. Blocks
    // until all have ended.
    void shutDown();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

}
