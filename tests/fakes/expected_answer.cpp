#include "tests/fakes/expected_answer.h"

#include <cstddef>

namespace sardinelb::fakes {

namespace {

// More than twice the chunk size of an agent.
constexpr std::size_t longAnswerBytes = std::size_t { 129 } * 1024;

}

std::string expectedToken(const std::string& prompt, std::uint32_t index)
{
    return "<" + prompt + ":" + std::to_string(index) + ">";
}

std::string expectedStream(const std::string& prompt, std::uint32_t tokens)
{
    std::string text;
    for (std::uint32_t index = 0; index < tokens; ++index)
        text += expectedToken(prompt, index);
    return text;
}

std::string expectedServiceAnswer(const std::string& body)
{
    std::string text = "answer to " + body + ": ";
    if (body.rfind(longAnswerPrefix, 0) == 0)
        text.resize(longAnswerBytes, static_cast<char>('a' + text.size() % 26));
    return text + body;
}

}
