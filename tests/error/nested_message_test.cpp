#include "coordination/claims/claim_record.h"
#include "protocol/chat_request.h"
#include "state/bounded_json.h"
#include "transport/handshake.h"

#include <nlohmann/json.hpp>

#include <gtest/gtest.h>

#include <string>

namespace sardinelb::test {

// Deeply nested messages of peers, callers and rows of other writers.
class nested_message : public testing::Test {
protected:
    static std::string nested(std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

    const std::string m_deep = nested(400000);
};

// Guards against a daemon that a connection without the shared key can end.
TEST_F(nested_message, challengeNestedDeeply_read_badMessage)
{
    EXPECT_FALSE(readChallenge(R"({"protocol":1,"nonce":)" + m_deep + "}"));
    EXPECT_FALSE(readChallenge(R"({"protocol":)" + m_deep + R"(,"nonce":"n"})"));
}

// Guards against daemons that end at each read of one row of another writer.
TEST_F(nested_message, claimNestedDeeply_read_noClaim)
{
    EXPECT_FALSE(claimFromText(R"({"token":)" + m_deep + R"(,"request":"r"})"));
    EXPECT_FALSE(claimFromText(R"({"token":"t","request":)" + m_deep + "}"));
}

TEST_F(nested_message, chatRequestNestedDeeply_read_malformed)
{
    EXPECT_FALSE(parseChatRequest(R"({"model":"m","messages":)" + m_deep + "}"));
    EXPECT_FALSE(parseChatRequest(R"({"model":"m","messages":[{"role":"user","content":)" + m_deep + "}]}"));
}

// Guards against taking brackets in texts for nested values.
TEST_F(nested_message, bracketsInTexts_parsed_sameValue)
{
    const std::string text = std::string(1000, '[') + R"(\"[\\)";
    const std::string document = R"({"a":")" + text + R"(","b":)" + nested(200) + "}";
    EXPECT_TRUE(parseBoundedJson(document).is_object());
    EXPECT_TRUE(parseBoundedJson(nested(300)).is_discarded());
    EXPECT_TRUE(parseBoundedJson("{").is_discarded());
    EXPECT_TRUE(parseBoundedJson("\"\\").is_discarded());
    EXPECT_TRUE(parseBoundedJson("[" + std::string(3000, ']') + m_deep).is_discarded());
}

// Guards against a text that takes many times its length once it is parsed.
TEST_F(nested_message, manyValues_parsed_discarded)
{
    const auto listOf = [](std::size_t values) {
        std::string text = "[0";
        for (std::size_t i = 1; i < values; ++i)
            text += ",0";
        return text + "]";
    };
    EXPECT_EQ(parseBoundedJson(listOf(maxMessageValues - 1)).size(), maxMessageValues - 1);
    EXPECT_TRUE(parseBoundedJson(listOf(maxMessageValues)).is_discarded());
    EXPECT_TRUE(parseBoundedJson(listOf(maxMessageValues), maxDocumentValues).is_array());
    EXPECT_FALSE(hasMoreValues("\"" + std::string(1000, ',') + "\"", 1));
}

}
