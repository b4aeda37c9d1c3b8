#include "relay/head_lines.h"

namespace sardinelb {

namespace {

constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view headEnd = "\r\n\r\n";

}

std::optional<std::size_t> headBytes(std::string_view input)
{
    const std::size_t end = input.find(headEnd);
    if (end == std::string_view::npos)
        return std::nullopt;
    return end + headEnd.size();
}

bool hasFoldedLine(std::string_view input)
{
    const std::string_view head = input.substr(0, headBytes(input).value_or(input.size()));
    for (std::size_t end = head.find(lineEnd); end != std::string_view::npos; end = head.find(lineEnd, end + lineEnd.size())) {
        const std::string_view next = head.substr(end + lineEnd.size(), 1);
        if (next == " " || next == "\t")
            return true;
    }
    return false;
}

}
