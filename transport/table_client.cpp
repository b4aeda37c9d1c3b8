#include "transport/table_client.h"

#include "state/bounded_json.h"
#include "transport/blocking_http_client.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace sardinelb {

namespace {

using nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusUnavailable = 503;

// Longest bodies of the responses. A row has a change of up to 512 KiB, which may be longer as JSON text. Snapshots of the configuration
// take a few megabytes at the target size of 12,000 teams.
constexpr std::uint64_t maxRowBytes = 4U << 20U;
constexpr std::uint64_t maxRangeBytes = 8U << 20U;
constexpr std::uint64_t maxObjectBytes = 32U << 20U;
// Of the response to a write of an object, which is not read.
constexpr std::uint64_t maxAnswerBytes = 64U << 10U;

// Rows are asked for again with so many times fewer if they exceed a response.
constexpr int rangeDivisor = 4;

std::string percentEncode(const std::string& text)
{
    std::string encoded;
    for (const char c : text) {
        const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
            || c == '_' || c == '.' || c == '~';
        if (plain) {
            encoded += c;
            continue;
        }
        std::array<char, 4> hex {};
        std::snprintf(hex.data(), hex.size(), "%%%02X", static_cast<unsigned>(static_cast<unsigned char>(c)));
        encoded += hex.data();
    }
    return encoded;
}

// A read has no effect, so it can be retried after every failure.
state_error readFailure(const transport_error& error)
{
    return { state_errc::Unavailable, "table service " + error.subject, error.detail };
}

// A failed write is certain to have had no effect only if nothing was sent.
state_error writeFailure(const transport_error& error)
{
    const bool notSent = error.code == transport_errc::ConnectionRefused;
    return { notSent ? state_errc::Unavailable : state_errc::OutcomeUnknown, "table service " + error.subject,
        error.detail };
}

state_error statusFailure(int status)
{
    return { state_errc::Unavailable, "table service", "unexpected response status " + std::to_string(status) };
}

// For writes, the interface guarantees only for 4xx and 503 that there was no effect.
state_error writeStatusFailure(int status)
{
    constexpr int clientErrors = 4;
    if (status / 100 == clientErrors || status == statusUnavailable)
        return statusFailure(status);
    return { state_errc::OutcomeUnknown, "table service", "unexpected response status " + std::to_string(status) };
}

std::string textOf(const json& object, const char* field)
{
    const json value = object.value(field, json());
    return value.is_string() ? value.get<std::string>() : std::string();
}

state_error invalidResponse()
{
    return { state_errc::Unavailable, "table service", "its response does not conform to the interface" };
}

json toJson(const table_transaction& transaction)
{
    json conditions = json::array();
    for (const auto& condition : transaction.conditions) {
        if (condition.revision == row_revision())
            conditions.push_back({ { "key", condition.key }, { "absent", true } });
        else
            conditions.push_back({ { "key", condition.key }, { "revision", condition.revision.value() } });
    }
    json puts = json::array();
    for (const auto& [key, value] : transaction.puts)
        puts.push_back({ { "key", key }, { "value", value } });
    return { { "conditions", conditions }, { "puts", puts }, { "deletes", transaction.deletes } };
}

std::optional<table_row> rowFrom(const json& row)
{
    if (!row.is_object() || !row.value("key", json()).is_string() || !row.value("value", json()).is_string()
        || !row.value("revision", json()).is_number_unsigned())
        return std::nullopt;
    return table_row { row["key"].get<std::string>(), row["value"].get<std::string>(),
        row_revision(row["revision"].get<std::uint64_t>()) };
}

// HTTP client behind the hooks of a table_service.
class table_http_client {
public:
    table_http_client(socket_address address, std::chrono::milliseconds timeout)
        : m_address(std::move(address))
        , m_timeout(timeout)
    {
    }

    state_result<row_revision> transact(const table_transaction& transaction) const
    {
        const auto reply = call("POST", "/v1/transact", toJson(transaction).dump(), maxRowBytes);
        if (!reply)
            return writeFailure(reply.error());
        const json body = parseBoundedJson(reply.value().body);
        if (reply.value().status == statusOk && body.is_object() && body.value("revision", json()).is_number_unsigned())
            return row_revision(body["revision"].get<std::uint64_t>());
        if (reply.value().status == statusConflict && body.is_object() && body.value("failed", json()).is_object()) {
            const json& failed = body["failed"];
            return state_error { state_errc::Conflict, textOf(failed, "key"), textOf(failed, "value") };
        }
        if (reply.value().status == statusOk)
            return state_error { state_errc::OutcomeUnknown, "table service", "its response to the transaction is unreadable" };
        return writeStatusFailure(reply.value().status);
    }

    state_result<std::optional<table_row>> readRow(const std::string& key) const
    {
        const auto reply = call("GET", "/v1/rows?key=" + percentEncode(key), {}, maxRowBytes);
        if (!reply)
            return readFailure(reply.error());
        if (reply.value().status == statusNotFound)
            return std::optional<table_row>();
        if (reply.value().status != statusOk)
            return statusFailure(reply.value().status);
        auto row = rowFrom(parseBoundedJson(reply.value().body));
        if (!row)
            return invalidResponse();
        return row;
    }

    state_result<std::vector<table_row>> readRange(const std::string& from, const std::string& to, int limit) const
    {
        const auto reply = call("GET",
            "/v1/range?from=" + percentEncode(from) + "&to=" + percentEncode(to) + "&limit=" + std::to_string(limit),
            {}, maxRangeBytes);
        // Large rows come through a few at a time.
        if (!reply && reply.error().code == transport_errc::ResponseTooLong && limit > 1)
            return readRange(from, to, std::max(1, limit / rangeDivisor));
        if (!reply)
            return readFailure(reply.error());
        if (reply.value().status != statusOk)
            return statusFailure(reply.value().status);
        const json body = parseBoundedJson(reply.value().body);
        if (!body.is_object() || !body.value("rows", json()).is_array())
            return invalidResponse();
        std::vector<table_row> rows;
        for (const json& item : body["rows"]) {
            auto row = rowFrom(item);
            if (!row)
                return invalidResponse();
            rows.push_back(std::move(*row));
        }
        return rows;
    }

    state_result<bool> putObject(const std::string& key, const std::string& value) const
    {
        const auto reply = call("PUT", "/v1/objects?key=" + percentEncode(key), value, maxAnswerBytes);
        if (!reply)
            return writeFailure(reply.error());
        if (reply.value().status / 100 != 2)
            return writeStatusFailure(reply.value().status);
        return true;
    }

    state_result<std::optional<std::string>> readObject(const std::string& key) const
    {
        const auto reply = call("GET", "/v1/objects?key=" + percentEncode(key), {}, maxObjectBytes);
        if (!reply)
            return readFailure(reply.error());
        if (reply.value().status == statusNotFound)
            return std::optional<std::string>();
        if (reply.value().status != statusOk)
            return statusFailure(reply.value().status);
        return std::optional<std::string>(reply.value().body);
    }

private:
    transport_result<http_response> call(const char* method, const std::string& target, std::string body, std::uint64_t maxResponseBytes) const
    {
        http_call request;
        request.method = method;
        request.target = target;
        request.body = std::move(body);
        request.timeout = m_timeout;
        request.maxResponseBytes = maxResponseBytes;
        return callHttp(m_address, request);
    }

    socket_address m_address;
    std::chrono::milliseconds m_timeout;
};

}

table_service makeTableClient(const socket_address& address, std::chrono::milliseconds timeout)
{
    const table_http_client calls(address, timeout);
    table_service service;
    service.transact = [calls](const table_transaction& t) { return calls.transact(t); };
    service.readRow = [calls](const std::string& key) { return calls.readRow(key); };
    service.readRange = [calls](const std::string& from, const std::string& to, int limit) {
        return calls.readRange(from, to, limit);
    };
    service.putObject = [calls](const std::string& key, const std::string& value) {
        return calls.putObject(key, value);
    };
    service.readObject = [calls](const std::string& key) { return calls.readObject(key); };
    return service;
}

}
