#include "serving/prompt_parts.h"

#include <array>
#include <charconv>

namespace sardinelb {

std::string describe(const std::vector<prompt_part_id>& parts)
{
    constexpr int hexadecimal = 16;
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

}
