#include "protocol/error_response.h"

#include <nlohmann/json.hpp>

#include <array>
#include <string_view>
#include <utility>

namespace sardinelb {

namespace {

const char* executionText(execution_outcome outcome)
{
    switch (outcome) {
    case execution_outcome::NotRun:
        return "not_run";
    case execution_outcome::Completed:
    case execution_outcome::Failed:
        return "ran";
    case execution_outcome::Unknown:
        break;
    }
    return "unknown";
}

constexpr std::array<std::pair<std::string_view, int>, 19> statusByCode { {
    { "malformed", 400 },
    { "unauthorized", 401 },
    { "not_found", 404 },
    { "method_not_allowed", 405 },
    { "duplicate", 409 },
    { "idempotency_key_reused", 422 },
    { "too_large", 413 },
    { "over_contract", 429 },
    { "team_share", 429 },
    { "draining", 503 },
    { "queue_full", 503 },
    { "no_runner", 503 },
    { "runner_down", 503 },
    { "wrong_incarnation", 503 },
    { "cancelled", 503 },
    { "store_unavailable", 503 },
    { "deadline_unreachable", 503 },
    { "not_ready", 503 },
    { "deadline_exceeded", 504 },
} };

const char* codeFor(protocol_errc code)
{
    switch (code) {
    case protocol_errc::Malformed:
        return "malformed";
    case protocol_errc::TooLarge:
        return "too_large";
    case protocol_errc::Unauthorized:
        return "unauthorized";
    case protocol_errc::NotFound:
        return "not_found";
    case protocol_errc::Duplicate:
        return "duplicate";
    case protocol_errc::Refused:
        return "not_ready";
    case protocol_errc::Internal:
        break;
    }
    return "internal";
}

}

std::string errorBody(const caller_error& error, const request_id& id)
{
    const nlohmann::json body { { "error",
        { { "code", error.code }, { "message", error.message }, { "execution", executionText(error.execution) },
            { "request_id", id.value() } } } };
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

int httpStatusFor(const std::string& code)
{
    constexpr int badGateway = 502;
    for (const auto& [listedCode, status] : statusByCode) {
        if (listedCode == code)
            return status;
    }
    return badGateway;
}

std::string httpErrorBody(int httpStatus, const std::string& message)
{
    constexpr int contentTooLarge = 413;
    constexpr int headerFieldsTooLarge = 431;
    constexpr int serviceUnavailable = 503;
    std::string code = "malformed";
    if (httpStatus == contentTooLarge || httpStatus == headerFieldsTooLarge)
        code = "too_large";
    else if (httpStatus == serviceUnavailable)
        code = "not_ready";
    return errorBody({ code, message, execution_outcome::NotRun, std::nullopt }, {});
}

caller_error toCallerError(const protocol_error& error)
{
    return { codeFor(error.code), error.subject + ": " + error.detail, execution_outcome::NotRun, std::nullopt };
}

}
