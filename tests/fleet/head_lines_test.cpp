#include "relay/head_lines.h"

#include <gtest/gtest.h>

#include <string>

namespace sardinelb::test {

// Guards against taking a part of a head for the whole, or bytes of the body for a part of it.
TEST(head_lines, head_wholeOrNot_sizeOfTheHead)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX: y\r\n\r\n";
    for (std::size_t length = 0; length < head.size(); ++length)
        EXPECT_FALSE(headBytes(head.substr(0, length))) << length;
    EXPECT_EQ(headBytes(head), head.size());
    EXPECT_EQ(headBytes(head + "a\r\n\r\nb\r\n\r\n"), head.size());
}

// Guards against a line that the parser joins to the one before it.
TEST(head_lines, line_beginsWithBlankOrTab_folded)
{
    for (const char* input : { "HTTP/1.1 200 OK\r\n X: y\r\n\r\n", "HTTP/1.1 200 OK\r\nX: y\r\n\tZ\r\n\r\n", "HTTP/1.1 200 OK\r\nX: y\r\n \r\n\r\n", "HTTP/1.1 200 OK\r\nX:\r\n y", "\r\n " })
        EXPECT_TRUE(hasFoldedLine(input)) << input;
}

// Guards against refusing a head for blanks within its lines, or for a body that looks like a folded field.
TEST(head_lines, line_beginsWithName_notFolded)
{
    for (const char* input : { "", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nX: \t y \r\nZ:\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n X: y\r\n Z: z\r\n\r\n" })
        EXPECT_FALSE(hasFoldedLine(input)) << input;
}

}
