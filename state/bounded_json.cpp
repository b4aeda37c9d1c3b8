#include "state/bounded_json.h"

#include <nlohmann/json.hpp>

namespace sardinelb {

namespace {

constexpr std::size_t maxDepth = 256;

// Calls `visit` with each character outside of the strings of a JSON text, until it returns false.
template <typename Visitor>
void visitStructure(std::string_view text, Visitor visit)
{
    bool isInText = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (isInText && c == '\\')
            ++i;
        else if (c == '"')
            isInText = !isInText;
        else if (!isInText && !visit(c))
            return;
    }
}

}

bool isNestedTooDeeply(std::string_view text)
{
    std::size_t depth = 0;
    bool isTooDeep = false;
    visitStructure(text, [&](char c) {
        if (c == '[' || c == '{')
            isTooDeep = ++depth > maxDepth;
        else if ((c == ']' || c == '}') && depth > 0)
            --depth;
        return !isTooDeep;
    });
    return isTooDeep;
}

bool hasMoreValues(std::string_view text, std::size_t maxValues)
{
    // Each value but the first follows one of these.
    std::size_t values = 1;
    visitStructure(text, [&](char c) {
        if (c == ',' || c == ':' || c == '[' || c == '{')
            ++values;
        return values <= maxValues;
    });
    return values > maxValues;
}

nlohmann::json parseBoundedJson(std::string_view text, std::size_t maxValues)
{
    using nlohmann::json;
    if (isNestedTooDeeply(text) || hasMoreValues(text, maxValues))
        return json(json::value_t::discarded);
    return json::parse(text, nullptr, false);
}

}
