#include "tests/stand_ins/token_text.h"

#include <gtest/gtest.h>

namespace sardinelb::stand_ins {

// Guards against a change of the token function, which would invalidate recorded responses. The value was computed with
// a separate program that calls XXH3 directly.
TEST(TokenText, OfAKnownPromptMatchesTheRecordedValue)
{
    EXPECT_EQ(token_text("x", 0).token(0), "1cffa47e ");
}

// Guards against equal outputs for different requests, which a checker could not tell apart.
TEST(TokenText, DependsOnPromptSeedAndIndex)
{
    const token_text text("prompt", 0);
    EXPECT_NE(text.token(1), text.token(2));
    EXPECT_NE(text.token(1), token_text("other prompt", 0).token(1));
    EXPECT_NE(text.token(1), token_text("prompt", 1).token(1));
}

// Guards against a resumed stream that doesn't continue where the first part ended.
TEST(TokenText, OfAdjacentRangesConcatenatesToTheWholeRange)
{
    const token_text text("prompt", 7);
    EXPECT_EQ(text.tokens(0, 5) + text.tokens(5, 9), text.tokens(0, 9));
    EXPECT_EQ(text.tokens(0, 9).size(), 9U * 9U);
}

TEST(TokenText, RoundsPromptTokensUp)
{
    EXPECT_EQ(promptTokenCount(""), 0U);
    EXPECT_EQ(promptTokenCount("abcde"), 2U);
}

}
