#include "protocol/chat_request.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace sardinelb {

namespace {

// Returns the field that the error names, or "parsed".
std::string invalidFieldOf(const std::string& body)
{
    const auto parsed = parseChatRequest(body);
    if (parsed.has_value())
        return "parsed";
    EXPECT_EQ(parsed.error().code, protocol_errc::Malformed);
    return parsed.error().subject;
}

std::string withField(const std::string& field)
{
    return R"({"model":"m","messages":[{"role":"user","content":"hi"}],)" + field + "}";
}

std::string withMessages(const std::string& messages)
{
    return R"({"model":"m","messages":)" + messages + "}";
}

TEST(chat_request_test, allFieldsAreRead)
{
    const auto parsed = parseChatRequest(
        R"({"model":"m","stream":true,"max_tokens":7,"temperature":0.5,"messages":[{"role":"system","content":"a"},)"
        R"({"role":"user","content":[{"type":"text","text":"b"},{"type":"text","text":"c"}]}]})");
    ASSERT_TRUE(parsed.has_value());
    EXPECT_EQ(parsed.value().model, "m");
    EXPECT_EQ(parsed.value().prompt, "system: a\nuser: bc\n");
    EXPECT_EQ(parsed.value().maxTokens, 7U);
    EXPECT_TRUE(parsed.value().stream);
}

TEST(chat_request_test, maxTokensHasADefault)
{
    EXPECT_EQ(parseChatRequest(withField(R"("x":1)")).value().maxTokens, defaultMaxTokens);
    EXPECT_EQ(parseChatRequest(withField(R"("max_tokens":null)")).value().maxTokens, defaultMaxTokens);
    EXPECT_EQ(parseChatRequest(withField(R"("max_tokens":9,"max_completion_tokens":8)")).value().maxTokens, 8U);
}

TEST(chat_request_test, invalidFieldIsNamed)
{
    for (const char* body : { "", "{", "[]", "7", "null", "\"x\"", "{\"model\":", "\xff" })
        EXPECT_EQ(invalidFieldOf(body), "body") << body;
    EXPECT_EQ(invalidFieldOf("{}"), "model");
    EXPECT_EQ(invalidFieldOf(R"({"model":7})"), "model");
    for (const char* messages : { "null", "[]", "{}", "\"hi\"" })
        EXPECT_EQ(invalidFieldOf(withMessages(messages)), "messages") << messages;
    for (const char* messages : { "[7]", "[{}]", R"([{"role":7,"content":"x"}])" })
        EXPECT_EQ(invalidFieldOf(withMessages(messages)), "messages[0].role") << messages;
    for (const char* messages : { R"([{"role":"user"}])", R"([{"role":"user","content":null}])",
             R"([{"role":"user","content":[7]}])", R"([{"role":"user","content":[{"type":"image_url"}]}])",
             R"([{"role":"user","content":[{"type":"text","text":7}]}])" })
        EXPECT_EQ(invalidFieldOf(withMessages(messages)), "messages[0].content") << messages;
    for (const char* value : { "0", "-1", "1.5", "\"7\"", "32769", "18446744073709551615", "[]", "true" }) {
        EXPECT_EQ(invalidFieldOf(withField(std::string("\"max_tokens\":") + value)), "max_tokens") << value;
        EXPECT_EQ(invalidFieldOf(withField(std::string("\"max_completion_tokens\":") + value)), "max_completion_tokens") << value;
    }
    for (const char* value : { "1", "\"true\"", "null", "[]" })
        EXPECT_EQ(invalidFieldOf(withField(std::string("\"stream\":") + value)), "stream") << value;
}

RC_GTEST_PROP(chat_request_test, randomBytesDoNotCrash, (const std::string& bytes))
{
    RC_ASSERT(!parseChatRequest(bytes).has_value());
    RC_ASSERT(!parseChatRequest(withMessages(bytes)).has_value());
}

RC_GTEST_PROP(chat_request_test, truncatedBodyIsMalformed, ())
{
    const std::string body = withField(R"("stream":false,"max_tokens":3)");
    const auto length = *rc::gen::inRange<std::size_t>(0, body.size());
    RC_ASSERT(!parseChatRequest(body.substr(0, length)).has_value());
}

}

}
