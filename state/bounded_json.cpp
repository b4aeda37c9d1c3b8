#include "state/bounded_json.h"

#include <nlohmann/json.hpp>

namespace sardinelb {

namespace {

constexpr std::size_t maxDepth = 256;

}

bool isNestedTooDeeply(std::string_view text)
{
    std::size_t depth = 0;
    bool isInText = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (isInText && c == '\\')
            ++i;
        else if (c == '"')
            isInText = !isInText;
        else if (!isInText && (c == '[' || c == '{') && ++depth > maxDepth)
            return true;
        else if (!isInText && (c == ']' || c == '}') && depth > 0)
            --depth;
    }
    return false;
}

nlohmann::json parseBoundedJson(std::string_view text)
{
    using nlohmann::json;
    if (isNestedTooDeeply(text))
        return json(json::value_t::discarded);
    return json::parse(text, nullptr, false);
}

}
