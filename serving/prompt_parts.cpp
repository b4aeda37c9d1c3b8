#include "serving/prompt_parts.h"

#include <array>
#include <charconv>

namespace sardinelb {

namespace {

constexpr int hexadecimal = 16;

}

std::string describe(const std::vector<prompt_part_id>& parts)
{
    constexpr std::size_t maxDigits = 16;
    std::string text;
    for (const prompt_part_id& part : parts) {
        std::array<char, maxDigits> digits {};
        const char* end = std::to_chars(digits.data(), digits.data() + digits.size(), part.value(), hexadecimal).ptr;
        if (!text.empty())
            text += ',';
        text.append(static_cast<const char*>(digits.data()), end);
    }
    return text;
}

std::optional<prompt_part_id> parsePromptPart(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, hexadecimal);
    if (error != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return prompt_part_id(value);
}

}
