#include "daemon/admin_api.h"

#include "daemon/decision_log.h"
#include "daemon/key_digest.h"
#include "daemon/metrics.h"
#include "protocol/error_response.h"
#include "transport/http_exchange.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace sardinelb {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotReady = 503;
const char* const jsonType = "application/json";

void reject(http_exchange& exchange, const std::string& code, const std::string& message)
{
    const caller_error error { code, message, execution_outcome::NotRun, std::nullopt };
    exchange.respond(httpStatusFor(code), jsonType, errorBody(error, {}));
}

}

admin_api::admin_api(
    std::string operatorKeyDigest, const metrics& counters, const decision_log& decisions, hooks callbacks)
    : m_operatorKeyDigest(std::move(operatorKeyDigest))
    , m_metrics(counters)
    , m_decisions(decisions)
    , m_hooks(std::move(callbacks))
{
}

void admin_api::handle(const std::shared_ptr<http_exchange>& exchange) const
{
    const std::string& target = exchange->request().target;
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/healthz")
        exchange->respond(statusOk, "text/plain", "ok\n");
    else if (path == "/readyz") {
        const bool ready = m_hooks.isReady();
        exchange->respond(ready ? statusOk : statusNotReady, "text/plain", ready ? "ready\n" : "not ready\n");
    } else if (path == "/metrics")
        exchange->respond(statusOk, "text/plain; version=0.0.4", m_metrics.text());
    else if (keyDigest(bearerKey(exchange->request().authorization)) != m_operatorKeyDigest)
        reject(*exchange, "unauthorized", "Authorization: must be \"Bearer KEY\" with the operators' key");
    else
        handleAdmin(exchange, path);
}

void admin_api::handleAdmin(const std::shared_ptr<http_exchange>& exchange, const std::string& path) const
{
    const auto answer = [exchange](std::string body) { exchange->respond(statusOk, jsonType, std::move(body)); };
    const std::string& method = exchange->request().method;
    if (path == "/admin/status" && method == "GET") {
        if (!m_hooks.status([answer](const std::string& status) { answer("{\"daemons\":[" + status + "]}"); }))
            reject(*exchange, "not_ready", "the daemon is too busy to report its status");
    } else if (path == "/admin/changes" && method == "POST")
        m_hooks.push(exchange->request().body,
            [answer](bool holds) { answer(nlohmann::json { { "holds", holds } }.dump()); });
    else if (path == "/admin/explain" && method == "GET")
        explain(*exchange);
    else
        reject(*exchange, "not_found", method + " " + path + ": no such operation");
}

void admin_api::explain(http_exchange& exchange) const
{
    const std::string& target = exchange.request().target;
    const std::string parameter = "?request=";
    const auto start = target.find(parameter);
    if (start == std::string::npos) {
        reject(exchange, "malformed", "request: missing; use /admin/explain?request=ID");
        return;
    }
    const request_id id(target.substr(start + parameter.size()));
    const nlohmann::json body { { "request", id.value() }, { "lines", m_decisions.linesOf(id) } };
    // The id is chosen by the client and may not be valid UTF-8.
    exchange.respond(statusOk, jsonType, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}
