#include "tests/stand_ins/response_check.h"

#include "tests/stand_ins/http_client_response.h"
#include "tests/stand_ins/load_plan.h"
#include "tests/stand_ins/load_request.h"
#include "tests/stand_ins/request_mix.h"
#include "tests/stand_ins/token_text.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <set>

namespace sardinelb::stand_ins {

namespace {

using json = nlohmann::json;

load_request chat(load_request_kind kind)
{
    load_request request;
    request.kind = kind;
    request.expectedTokens = 3;
    request.expectedText = token_text("p", 0).tokens(0, 3);
    return request;
}

response_class classOf(const load_request& request, int status, const std::string& body)
{
    http_client_response response;
    response.delivery = http_delivery::Complete;
    response.status = status;
    response.body = body;
    return checkResponse(request, response).kind;
}

std::string plainBody(const std::string& text, int tokens)
{
    const json choice = { { "message", { { "content", text } } } };
    return json { { "choices", { choice } }, { "usage", { { "completion_tokens", tokens } } } }.dump();
}

std::string event(const std::string& text)
{
    const json choice = { { "delta", { { "content", text } } } };
    return "data: " + json { { "choices", { choice } } }.dump() + "\n\n";
}

std::string errorWith(const std::string& execution)
{
    return json { { "error", { { "code", "c" }, { "execution", execution } } } }.dump();
}

constexpr const char* streamEnd = "data: [DONE]\n\n";

}

// Guards against accepting a response that is truncated, belongs to another request or reports a wrong usage.
TEST(ResponseCheck, AcceptsAPlainResponseOnlyWithItsCompleteText)
{
    const auto request = chat(load_request_kind::PlainChat);
    const token_text own("p", 0);
    EXPECT_EQ(classOf(request, 200, plainBody(own.tokens(0, 3), 3)), response_class::Answered);
    EXPECT_EQ(classOf(request, 200, plainBody(own.tokens(0, 2), 2)), response_class::Broken);
    EXPECT_EQ(classOf(request, 200, plainBody(token_text("q", 0).tokens(0, 3), 3)), response_class::Wrong);
    EXPECT_EQ(classOf(request, 200, plainBody(own.tokens(0, 3), 2)), response_class::Wrong);
    EXPECT_EQ(classOf(request, 200, "{\"choices\":["), response_class::Broken);
}

// Guards against accepting a stream with missing, repeated or reordered events, without [DONE], or with events after it.
TEST(ResponseCheck, AcceptsAStreamOnlyWithAllTokensInOrderAndItsEnd)
{
    const auto request = chat(load_request_kind::StreamedChat);
    const token_text own("p", 0);
    const auto first = event(own.tokens(0, 2));
    const auto last = event(own.token(2));
    EXPECT_EQ(classOf(request, 200, first + ": comment\n\n" + last + streamEnd), response_class::Answered);
    EXPECT_EQ(classOf(request, 200, first + last), response_class::Broken);
    EXPECT_EQ(classOf(request, 200, first + streamEnd), response_class::Broken);
    EXPECT_EQ(classOf(request, 200, last + first + streamEnd), response_class::Wrong);
    EXPECT_EQ(classOf(request, 200, first + last + last + streamEnd), response_class::Wrong);
    EXPECT_EQ(classOf(request, 200, first + last + streamEnd + last), response_class::Broken);
}

// Guards against classifying a stream that fails after some content as not run, which would allow it to be resent.
TEST(ResponseCheck, ClassifiesAStreamWithAnErrorAfterContentAsBroken)
{
    const auto request = chat(load_request_kind::StreamedChat);
    const auto error = "data: " + errorWith("not_run") + "\n\n";
    EXPECT_EQ(classOf(request, 200, error), response_class::NotRun);
    EXPECT_EQ(classOf(request, 200, event(token_text("p", 0).token(0)) + error), response_class::Broken);
}

// Guards against misreading whether a failed request was executed.
TEST(ResponseCheck, ClassifiesAnErrorByItsExecutionField)
{
    const auto request = chat(load_request_kind::PlainChat);
    EXPECT_EQ(classOf(request, 503, errorWith("not_run")), response_class::NotRun);
    EXPECT_EQ(classOf(request, 502, errorWith("ran")), response_class::Failed);
    EXPECT_EQ(classOf(request, 502, errorWith("unknown")), response_class::Unknown);
    EXPECT_EQ(classOf(request, 502, errorWith("perhaps")), response_class::Broken);
    EXPECT_EQ(classOf(request, 502, "bad gateway"), response_class::Broken);
    EXPECT_EQ(classOf(request, 200, errorWith("not_run")), response_class::Broken);
}

// Guards against resending requests that were not rejected, or that would be rejected every time.
TEST(ResponseCheck, AllowsAnotherAttemptOnlyForTransientRejections)
{
    const auto request = chat(load_request_kind::PlainChat);
    http_client_response response;
    EXPECT_TRUE(checkResponse(request, response).isTransient);
    response.delivery = http_delivery::Truncated;
    EXPECT_EQ(checkResponse(request, response).kind, response_class::Broken);
    response.delivery = http_delivery::Complete;
    response.body = errorWith("not_run");
    response.status = 401;
    EXPECT_FALSE(checkResponse(request, response).isTransient);
    response.status = 429;
    EXPECT_TRUE(checkResponse(request, response).isTransient);
}

// Guards against accepting the response to another booking.
TEST(ResponseCheck, AcceptsABookingOnlyWithTheEchoOfItsBody)
{
    load_request request;
    request.kind = load_request_kind::Booking;
    request.expectedText = "{\"reference\":\"r\"}";
    const json own = { { "request_id", "i" }, { "body", request.expectedText } };
    const json other = { { "request_id", "i" }, { "body", "{}" } };
    EXPECT_EQ(classOf(request, 200, own.dump()), response_class::Answered);
    EXPECT_EQ(classOf(request, 200, other.dump()), response_class::Wrong);
    EXPECT_EQ(classOf(request, 200, "{}"), response_class::Broken);
}

// Guards against requests with equal responses, whose mix-up would go unnoticed, and against runs that are not
// reproducible.
TEST(RequestMix, IsReproducibleAndEveryRequestDiffers)
{
    const auto plan = parseLoadPlan(R"({"entries":["127.0.0.1:1"],"keys":["a","b"],
        "chat":{"count":200},"bookings":{"count":100}})");
    const auto requests = requestMix(plan);
    const auto again = requestMix(plan);
    std::set<std::string> expected;
    for (std::size_t i = 0; i < requests.size(); ++i) {
        EXPECT_EQ(requests[i].body, again[i].body);
        expected.insert(requests[i].expectedText);
    }
    EXPECT_EQ(expected.size(), 300U);
}

TEST(LoadPlan, WithAnUnknownFieldIsRejected)
{
    EXPECT_THROW(parseLoadPlan(R"({"entries":["e"],"keys":["k"],"chat":{"cuont":1}})"), std::invalid_argument);
    EXPECT_THROW(parseLoadPlan(R"({"entries":["e"],"keys":[1]})"), std::invalid_argument);
    EXPECT_THROW(parseLoadPlan(R"({"keys":["k"]})"), std::invalid_argument);
}

}
