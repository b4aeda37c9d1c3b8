#include "protocol/error_response.h"

#include "coordination/entry/caller_error.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace sardinelb {

namespace {

// Guards against an unintended change of a status, by which callers decide whether to retry.
TEST(error_response_test, everyCodeHasItsStatus)
{
    const std::map<std::string, int> expected { { "malformed", 400 }, { "unauthorized", 401 }, { "not_found", 404 },
        { "method_not_allowed", 405 }, { "duplicate", 409 }, { "too_large", 413 }, { "idempotency_key_reused", 422 },
        { "over_contract", 429 }, { "team_share", 429 }, { "draining", 503 }, { "queue_full", 503 },
        { "no_runner", 503 }, { "runner_down", 503 }, { "store_unavailable", 503 }, { "deadline_unreachable", 503 },
        { "not_ready", 503 }, { "wrong_incarnation", 503 }, { "cancelled", 503 }, { "deadline_exceeded", 504 }, { "internal", 502 }, { "anything else", 502 } };
    for (const auto& [code, status] : expected)
        EXPECT_EQ(httpStatusFor(code), status) << code;
}

TEST(error_response_test, bodyStatesWhetherTheRequestRan)
{
    const std::map<execution_outcome, std::string> expected { { execution_outcome::NotRun, "not_run" },
        { execution_outcome::Completed, "ran" }, { execution_outcome::Failed, "ran" },
        { execution_outcome::Unknown, "unknown" } };
    for (const auto& [outcome, text] : expected) {
        const auto body
            = nlohmann::json::parse(errorBody({ "code", "message", outcome, std::nullopt }, request_id("r")));
        EXPECT_EQ(body,
            nlohmann::json({ { "error",
                { { "code", "code" }, { "message", "message" }, { "execution", text }, { "request_id", "r" } } } }));
    }
}

// Guards against an exception when text from a caller is not valid UTF-8.
TEST(error_response_test, messageThatIsNotUtf8IsReplaced)
{
    const auto body = errorBody({ "malformed", "\xff\"\n", execution_outcome::NotRun, std::nullopt }, {});
    EXPECT_TRUE(nlohmann::json::accept(body)) << body;
}

// A request that is rejected before it reaches the coordination layer has not been run.
TEST(error_response_test, protocolErrorsAreNotRun)
{
    const std::map<protocol_errc, std::string> expected { { protocol_errc::Malformed, "malformed" },
        { protocol_errc::TooLarge, "too_large" }, { protocol_errc::Unauthorized, "unauthorized" },
        { protocol_errc::NotFound, "not_found" }, { protocol_errc::Refused, "not_ready" },
        { protocol_errc::Duplicate, "duplicate" }, { protocol_errc::Internal, "internal" } };
    for (const auto& [code, name] : expected) {
        const caller_error error = toCallerError({ code, "field", "what is right" });
        EXPECT_EQ(error.code, name);
        EXPECT_EQ(error.message, "field: what is right");
        EXPECT_EQ(error.execution, execution_outcome::NotRun);
    }
}

}

}
