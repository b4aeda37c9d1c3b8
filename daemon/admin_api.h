#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sardinelb {

class decision_log;
class http_exchange;
class metrics;

// The operators' HTTP interface of a daemon: GET /healthz, /readyz and /metrics without a key; GET /admin/status,
// GET /admin/explain?request=ID and POST /admin/changes with the operators' bearer key. Runs on the net thread.
class admin_api {
public:
    struct hooks {
        std::function<bool()> isReady;
        // Gives the status as JSON text to the callback, now or later, on the net thread. Returns false, and does not
        // call it, when the daemon is too busy.
        std::function<bool(std::function<void(std::string)>)> status;
        // Takes a committed change (JSON text) and tells the callback whether the daemon now holds it, now or later, on
        // the net thread.
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
