#include "tests/stand_ins/http_request.h"

#include <charconv>
#include <string_view>

namespace sardinelb::stand_ins {

namespace {

// Returns the value of two hexadecimal digits, or -1 if the text is anything else.
int byteFromHex(std::string_view digits)
{
    constexpr int hexadecimal = 16;
    int value = -1;
    const auto* end = digits.data() + digits.size();
    const auto result = std::from_chars(digits.data(), end, value, hexadecimal);
    return digits.size() == 2 && result.ec == std::errc() && result.ptr == end ? value : -1;
}

// Decodes %XX. A '%' that isn't followed by two hexadecimal digits is kept.
std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const int byte = text[i] == '%' ? byteFromHex(text.substr(i + 1, 2)) : -1;
        decoded += byte < 0 ? text[i] : static_cast<char>(byte);
        if (byte >= 0)
            i += 2;
    }
    return decoded;
}

void addParameter(http_request& request, std::string_view parameter)
{
    const auto equals = parameter.find('=');
    const auto name = percentDecode(parameter.substr(0, equals));
    const auto value = equals == std::string_view::npos ? std::string_view() : parameter.substr(equals + 1);
    request.query[name] = percentDecode(value);
}

}

void setTarget(http_request& request, const std::string& target)
{
    const std::string_view view(target);
    const auto mark = view.find('?');
    request.path = percentDecode(view.substr(0, mark));
    auto rest = mark == std::string_view::npos ? std::string_view() : view.substr(mark + 1);
    while (!rest.empty()) {
        const auto ampersand = rest.find('&');
        addParameter(request, rest.substr(0, ampersand));
        rest = ampersand == std::string_view::npos ? std::string_view() : rest.substr(ampersand + 1);
    }
}

}
