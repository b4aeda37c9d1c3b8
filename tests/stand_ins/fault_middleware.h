#pragma once

#include "tests/stand_ins/fault_settings.h"
#include "tests/stand_ins/http_server.h"

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace sardinelb::stand_ins {

// Wraps the HTTP handler of a stand-in. Serves GET and POST /admin/faults, and applies the configured latency and
// outage to every request whose path does not start with /admin/.
class fault_middleware {
public:
    // `supported` names the JSON fields that may be set, besides latency_ms and down.
    fault_middleware(event_loop&, std::uint64_t seed, std::vector<std::string> supported);

    const fault_settings& settings() const { return m_settings; }

    // Returns true with the given probability.
    bool drawFault(double probability);

    // The callback runs after every change of the settings.
    void setChangeCallback(std::function<void()> callback) { m_onChange = std::move(callback); }

    // Returns a handler that applies the faults before it calls `inner`. The middleware must outlive it.
    http_handler wrap(http_handler inner);

private:
    void serveSettings(http_exchange&);
    void serveWithFaults(const std::shared_ptr<http_exchange>&, const http_handler& inner) const;

    event_loop& m_loop;
    std::mt19937_64 m_random;
    std::vector<std::string> m_supported;
    fault_settings m_settings;
    std::function<void()> m_onChange;
};

}
