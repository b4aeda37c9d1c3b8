#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sardinelb {

class decision_log;
class http_exchange;
class metrics;

// Operator HTTP API of a daemon: GET /healthz, /readyz and /metrics without a key; GET /admin/status, GET
// /admin/explain?request=ID and POST /admin/changes with the operators' bearer key. Runs on the network thread.
class admin_api {
public:
    struct hooks {
        std::function<bool()> isReady;
        // Passes the status as JSON text to the callback, immediately or later, on the network thread. Returns false,
        // without calling it, if the daemon is too busy.
        std::function<bool(std::function<void(std::string)>)> status;
        // Applies a committed change (JSON text) and tells the callback whether the daemon now has it, immediately or
        // later, on the network thread.
        std::function<void(std::string change, std::function<void(bool holds)>)> push;
    };

    admin_api(std::string operatorKeyDigest, const metrics&, const decision_log&, hooks);

    void handle(const std::shared_ptr<http_exchange>&) const;

private:
    void handleAdmin(const std::shared_ptr<http_exchange>&, const std::string& path) const;
    void explain(http_exchange&) const;

    std::string m_operatorKeyDigest;
    const metrics& m_metrics;
    const decision_log& m_decisions;
    hooks m_hooks;
};

}
