#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string_view>

namespace sardinelb {

// Values, keys included, of the largest document that other processes send: a configuration of 12,000 teams has some 250,000.
inline constexpr std::size_t maxDocumentValues = 500000;

// Values of the largest response of the table service with 200 rows, and of all other messages.
inline constexpr std::size_t maxMessageValues = 100000;

// Parses JSON text from another process. The result is discarded (is_discarded()) if the text is invalid, is nested too deeply,
// since copying, comparing and writing a value calls itself for each level, or has more than `maxValues`: a value of two bytes
// takes 16 to some 110 bytes of memory.
nlohmann::json parseBoundedJson(std::string_view text, std::size_t maxValues = maxMessageValues);

// Whether objects and arrays are nested so deeply that the value must not be parsed. Valid for any text.
bool isNestedTooDeeply(std::string_view text);

// Whether the text may have more than `maxValues` values and keys. Valid for any text.
bool hasMoreValues(std::string_view text, std::size_t maxValues);

}
