#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace sardinelb {

// Parses JSON text from another process. The result is discarded (is_discarded()) if the text is invalid or nested too deeply:
// copying, comparing and writing a value calls itself for each level.
nlohmann::json parseBoundedJson(std::string_view text);

// Whether objects and arrays are nested so deeply that the value must not be parsed. Valid for any text.
bool isNestedTooDeeply(std::string_view text);

}
