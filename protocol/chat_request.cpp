#include "protocol/chat_request.h"

#include "state/bounded_json.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace sardinelb {

namespace {

using nlohmann::json;

protocol_error malformed(std::string field, std::string detail)
{
    return { protocol_errc::Malformed, std::move(field), std::move(detail) };
}

// Returns the content of a message: a string, or the joined texts of an array of text parts.
protocol_result<std::string> readContent(const json& message, const std::string& field)
{
    const auto found = message.find("content");
    if (found != message.end() && found->is_string())
        return found->get<std::string>();
    if (found == message.end() || !found->is_array())
        return malformed(field + ".content", "must be a string or an array of text parts");
    std::string text;
    for (const json& part : *found) {
        if (!part.is_object() || part.value("type", json()) != "text" || !part.value("text", json()).is_string())
            return malformed(field + ".content", "every part must be {\"type\":\"text\",\"text\":\"...\"}");
        text += part["text"].get<std::string>();
    }
    return text;
}

protocol_result<std::string> readPrompt(const json& body)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty())
        return malformed("messages", "must be a non-empty array");
    std::string prompt;
    std::size_t index = 0;
    for (const json& message : *messages) {
        const std::string field = "messages[" + std::to_string(index++) + "]";
        if (!message.is_object() || !message.value("role", json()).is_string())
            return malformed(field + ".role", "must be a string");
        auto content = readContent(message, field);
        if (!content)
            return content.error();
        prompt += message["role"].get<std::string>() + ": " + content.value() + "\n";
    }
    return prompt;
}

protocol_result<std::uint32_t> readMaxTokens(const json& body)
{
    for (const char* field : { "max_completion_tokens", "max_tokens" }) {
        const auto found = body.find(field);
        if (found == body.end() || found->is_null())
            continue;
        if (!found->is_number_integer() || *found < 1 || *found > maxTokensLimit)
            return malformed(field, "must be a whole number from 1 to " + std::to_string(maxTokensLimit));
        return found->get<std::uint32_t>();
    }
    return defaultMaxTokens;
}

}

protocol_result<chat_request> parseChatRequest(std::string_view text)
{
    const json body = parseBoundedJson(text, maxDocumentValues);
    if (body.is_discarded() || !body.is_object())
        return malformed("body", "must be a JSON object");
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string())
        return malformed("model", "must be a string");
    const auto stream = body.find("stream");
    if (stream != body.end() && !stream->is_boolean())
        return malformed("stream", "must be true or false");
    auto prompt = readPrompt(body);
    if (!prompt)
        return prompt.error();
    auto maxTokens = readMaxTokens(body);
    if (!maxTokens)
        return maxTokens.error();
    return chat_request { model->get<std::string>(), std::move(prompt.value()), maxTokens.value(),
        stream != body.end() && stream->get<bool>() };
}

}
