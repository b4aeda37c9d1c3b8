#include "protocol/chat_response.h"

#include <nlohmann/json.hpp>

namespace sardinelb {

namespace {

using nlohmann::json;

json usageJson(const token_usage& usage)
{
    const auto prompt = usage.promptTokens.value();
    const auto completion = usage.completionTokens.value();
    return { { "prompt_tokens", prompt }, { "completion_tokens", completion },
        { "total_tokens", prompt + completion } };
}

json chunkJson(const request_id& id, const std::string& model, json choice)
{
    return { { "id", id.value() }, { "object", "chat.completion.chunk" }, { "model", model },
        { "choices", json::array({ std::move(choice) }) } };
}

// Replaces bytes that are not UTF-8, so that an invalid token from a runner does not break the stream.
std::string dump(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

}

std::string chatResponse(
    const request_id& id, const std::string& model, const std::string& content, const token_usage& usage)
{
    const json message { { "role", "assistant" }, { "content", content } };
    const json choice { { "index", 0 }, { "message", message }, { "finish_reason", "stop" } };
    return dump({ { "id", id.value() }, { "object", "chat.completion" }, { "model", model },
        { "choices", json::array({ choice }) }, { "usage", usageJson(usage) } });
}

std::string chatEvent(const request_id& id, const std::string& model, const std::string& content)
{
    const json choice { { "index", 0 }, { "delta", { { "content", content } } }, { "finish_reason", nullptr } };
    return "data: " + dump(chunkJson(id, model, choice)) + "\n\n";
}

std::string chatFinalEvents(const request_id& id, const std::string& model, const token_usage& usage)
{
    const json choice { { "index", 0 }, { "delta", json::object() }, { "finish_reason", "stop" } };
    json last = chunkJson(id, model, choice);
    last["usage"] = usageJson(usage);
    return "data: " + dump(last) + "\n\ndata: [DONE]\n\n";
}

std::string chatErrorEvent(const std::string& body)
{
    return "event: error\ndata: " + body + "\n\n";
}

}
