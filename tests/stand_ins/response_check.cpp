#include "tests/stand_ins/response_check.h"

#include "tests/stand_ins/http_client_response.h"
#include "tests/stand_ins/load_request.h"
#include "tests/stand_ins/sse_stream.h"

#include <nlohmann/json.hpp>

namespace sardinelb::stand_ins {

namespace {

using json = nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;
constexpr int firstErrorStatus = 400;

response_verdict makeVerdict(response_class kind, const std::string& detail, const std::string& requestId = {})
{
    response_verdict verdict;
    verdict.kind = kind;
    verdict.requestId = requestId;
    verdict.detail = detail;
    return verdict;
}

response_verdict brokenVerdict(const std::string& detail)
{
    return makeVerdict(response_class::Broken, detail);
}

response_verdict wrongVerdict(const std::string& detail)
{
    return makeVerdict(response_class::Wrong, detail);
}

// Returns the string at a JSON pointer, or an empty string if there is none.
std::string stringAt(const json& document, const std::string& pointer)
{
    const json::json_pointer position(pointer);
    if (!document.contains(position) || !document[position].is_string())
        return {};
    return document[position].get<std::string>();
}

// Compares the complete text of a response with the expected text.
response_verdict compareText(const load_request& request, const std::string& text)
{
    if (text == request.expectedText)
        return makeVerdict(response_class::Answered, "");
    if (request.expectedText.starts_with(text))
        return brokenVerdict("the response ends after " + std::to_string(text.size()) + " bytes");
    return wrongVerdict("the text differs from the expected text");
}

// Returns whether the response reports a usage other than the expected one.
bool hasUsageMismatch(const json& document, std::uint64_t expectedTokens)
{
    const json::json_pointer position("/usage/completion_tokens");
    return document.contains(position) && document[position] != expectedTokens;
}

response_verdict classifyError(const json& document)
{
    const auto execution = stringAt(document, "/error/execution");
    const auto requestId = stringAt(document, "/error/request_id");
    const auto detail = stringAt(document, "/error/code") + ": " + stringAt(document, "/error/message");
    if (execution == "not_run")
        return makeVerdict(response_class::NotRun, detail, requestId);
    if (execution == "ran")
        return makeVerdict(response_class::Failed, detail, requestId);
    if (execution == "unknown")
        return makeVerdict(response_class::Unknown, detail, requestId);
    return brokenVerdict("an error response without a valid 'execution': " + document.dump(-1, ' ', true));
}

response_verdict checkError(const http_client_response& response)
{
    const auto document = json::parse(response.body, nullptr, false);
    if (document.is_discarded())
        return brokenVerdict("status " + std::to_string(response.status) + " with a body that is not JSON");
    if (response.status < firstErrorStatus)
        return brokenVerdict("status " + std::to_string(response.status));
    auto verdict = classifyError(document);
    verdict.isTransient = response.status == statusTooManyRequests || response.status == statusUnavailable;
    return verdict;
}

response_verdict checkPlainChat(const load_request& request, const http_client_response& response)
{
    const auto document = json::parse(response.body, nullptr, false);
    if (document.is_discarded())
        return brokenVerdict("the response is not JSON");
    if (document.contains("error"))
        return brokenVerdict("an error response with status 200");
    auto verdict = compareText(request, stringAt(document, "/choices/0/message/content"));
    if (verdict.kind == response_class::Answered && hasUsageMismatch(document, request.expectedTokens))
        verdict = wrongVerdict("the reported usage differs from the expected number of tokens");
    verdict.requestId = stringAt(document, "/id");
    return verdict;
}

response_verdict checkErrorEvent(const json& document, const std::string& textBefore)
{
    // A stream that has delivered content is broken, whatever the error says about execution.
    if (!textBefore.empty())
        return brokenVerdict("an error event after content: " + document.dump(-1, ' ', true));
    auto verdict = classifyError(document);
    // Status 200 was sent before the error, so it doesn't tell whether the rejection is transient; assume that it is.
    verdict.isTransient = true;
    return verdict;
}

response_verdict checkStreamedChat(const load_request& request, const http_client_response& response)
{
    std::string text;
    const auto stream = parseSseStream(response.body);
    for (const auto& event : stream.events) {
        const auto document = json::parse(event, nullptr, false);
        if (document.is_discarded())
            return brokenVerdict("an event is not JSON: " + event);
        if (document.contains("error"))
            return checkErrorEvent(document, text);
        if (hasUsageMismatch(document, request.expectedTokens))
            return wrongVerdict("the reported usage differs from the expected number of tokens");
        text += stringAt(document, "/choices/0/delta/content");
    }
    if (!stream.done)
        return brokenVerdict("the stream ends without [DONE]");
    if (stream.hasUnexpectedLines)
        return brokenVerdict("the stream continues after [DONE] or has lines that are not events");
    return compareText(request, text);
}

response_verdict checkBooking(const load_request& request, const http_client_response& response)
{
    const auto document = json::parse(response.body, nullptr, false);
    const auto requestId = stringAt(document, "/request_id");
    if (requestId.empty())
        return brokenVerdict("the response has no request id of the service");
    if (stringAt(document, "/body") != request.expectedText)
        return makeVerdict(response_class::Wrong, "the response echoes another body", requestId);
    return makeVerdict(response_class::Answered, "", requestId);
}

}

response_verdict checkResponse(const load_request& request, const http_client_response& response)
{
    if (response.delivery == http_delivery::NotSent) {
        auto verdict = makeVerdict(response_class::NotRun, response.failure);
        verdict.isTransient = true;
        return verdict;
    }
    if (response.delivery == http_delivery::Truncated)
        return brokenVerdict(response.failure);
    if (response.status != statusOk)
        return checkError(response);
    switch (request.kind) {
    case load_request_kind::PlainChat:
        return checkPlainChat(request, response);
    case load_request_kind::StreamedChat:
        return checkStreamedChat(request, response);
    case load_request_kind::Booking:
        break;
    }
    return checkBooking(request, response);
}

}
