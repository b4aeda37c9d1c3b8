#include "cli/connect_services.h"

#include "cli/cli_services.h"
#include "cli/cli_settings.h"
#include "cli/random_token.h"
#include "state/bounded_json.h"
#include "state/change_json.h"
#include "state/configuration_change.h"
#include "transport/blocking_http_client.h"
#include "transport/table_client.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <thread>
#include <utility>

namespace sardinelb {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds callTimeout(3000);
constexpr int statusOk = 200;
// A daemon answers with its state, its history of requests or a configuration of a few megabytes.
constexpr std::uint64_t maxDaemonResponseBytes = 8U << 20U;

state_error unavailable(const std::string& address, const std::string& detail)
{
    return { state_errc::Unavailable, address, detail };
}

// Parses an address of the settings, which parseCliSettings() has already validated.
socket_address validatedAddress(const std::string& text)
{
    const auto address = parseAddress(text);
    return address ? address.value() : socket_address();
}

// Calls the admin interface of a daemon. Error: Unavailable, also if the daemon rejects the key.
state_result<json> callDaemon(const std::string& address, const std::string& key, const std::string& method,
    const std::string& target, std::string body)
{
    http_call call;
    call.method = method;
    call.target = target;
    call.headers.emplace_back("Authorization", "Bearer " + key);
    call.body = std::move(body);
    call.timeout = callTimeout;
    call.maxResponseBytes = maxDaemonResponseBytes;
    const auto response = callHttp(validatedAddress(address), call);
    if (!response)
        return unavailable(address, response.error().detail);
    if (response.value().status != statusOk)
        return unavailable(address, "status " + std::to_string(response.value().status) + ": " + response.value().body);
    json document = parseBoundedJson(response.value().body, maxDocumentValues);
    if (!document.is_object())
        return unavailable(address, "the response is not a JSON object");
    return document;
}

state_result<std::vector<std::string>> readTexts(const std::string& address, const json& document, const char* field)
{
    const json items = document.value(field, json());
    if (!items.is_array())
        return unavailable(address, std::string("the response has no field ") + field);
    std::vector<std::string> texts;
    for (const json& item : items)
        texts.push_back(item.is_string() ? item.get<std::string>() : item.dump());
    return texts;
}

}

cli_services connectServices(const cli_settings& settings)
{
    const std::string key = settings.operatorKey;
    cli_services services;
    services.table = makeTableClient(validatedAddress(settings.tableAddress), callTimeout);
    services.push = [key](const std::string& address, const configuration_change& change) -> state_result<bool> {
        const auto document = callDaemon(address, key, "POST", "/admin/changes", changeToText(change));
        if (!document)
            return document.error();
        return document.value().value("holds", json()) == true;
    };
    services.readStatus = [key](const std::string& address) -> state_result<std::vector<std::string>> {
        const auto document = callDaemon(address, key, "GET", "/admin/status", {});
        if (!document)
            return document.error();
        return readTexts(address, document.value(), "daemons");
    };
    services.explain
        = [key](const std::string& address, const std::string& request) -> state_result<std::vector<std::string>> {
        const auto document = callDaemon(address, key, "GET", "/admin/explain?request=" + request, {});
        if (!document)
            return document.error();
        return readTexts(address, document.value(), "lines");
    };
    services.sleep = [](duration delay) { std::this_thread::sleep_for(delay); };
    services.generateToken = randomToken;
    return services;
}

}
