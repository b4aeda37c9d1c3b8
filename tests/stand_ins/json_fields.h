#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace sardinelb::stand_ins {

// Parses a JSON object. Throws std::invalid_argument if the text is anything else.
nlohmann::json parseObject(const std::string& text);

// Returns a required field. Throws std::invalid_argument, naming the field, if it is absent or of another type.
std::string stringField(const nlohmann::json& object, const std::string& name);
std::uint64_t numberField(const nlohmann::json& object, const std::string& name);

// Returns an optional field, or the fallback if it is absent. Throws std::invalid_argument, naming the field, if it
// has another type.
std::string stringFieldOr(const nlohmann::json& object, const std::string& name, const std::string& fallback);
std::uint64_t numberFieldOr(const nlohmann::json& object, const std::string& name, std::uint64_t fallback);
std::int64_t integerFieldOr(const nlohmann::json& object, const std::string& name, std::int64_t fallback);

// Serializes the value. Bytes that are not valid UTF-8 are replaced.
std::string toText(const nlohmann::json&);

// Returns {"error":message}.
std::string errorBody(const std::string& message);

}
