#pragma once

#include "state/document_fault.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sardinelb {

// Reads the fields of one JSON object strictly. Every field is read at most once by name; faults are appended to the
// list of the caller, and a faulty field reads as an empty value. The JSON value must outlive the reader.
class object_reader {
public:
    // `location` names the document and the entity; `prefix` is put before field names, as in "contract.".
    object_reader(const nlohmann::json&, std::string location, std::string prefix, document_faults&);

    // Reads a non-empty string.
    std::string requiredString(const std::string& field);

    // Reads a string that must satisfy `accepts`; `expected` describes what it accepts.
    std::string requiredText(
        const std::string& field, const std::function<bool(const std::string&)>& accepts, const std::string& expected);

    // Reads one of the given strings and returns its index; the first one is the default of an absent optional field.
    std::size_t choice(const std::string& field, const std::vector<std::string>& names, bool required);

    std::int64_t requiredInteger(const std::string& field, std::int64_t minimum, std::int64_t maximum);
    double requiredNumber(const std::string& field, double minimum, double maximum);

    // Reads a boolean; an absent field is false.
    bool optionalFlag(const std::string& field);

    // Reads an array of non-empty strings; an absent field is empty.
    std::vector<std::string> optionalStrings(
        const std::string& field, const std::function<bool(const std::string&)>& accepts, const std::string& expected);

    // Reads an object whose values are non-empty strings; an absent field is empty.
    std::map<std::string, std::string> optionalStringMap(const std::string& field);

    // Returns the member as it is, or null when it is absent or not an object; then a fault is recorded.
    const nlohmann::json* requiredObject(const std::string& field);

    // Returns the member as it is, or null when it is absent, and marks it as known.
    const nlohmann::json* optionalValue(const std::string& field);

    // Records every field that was not read as unknown. Call last.
    void finish();

    // Records a fault of one field.
    void fault(const std::string& field, const nlohmann::json* value, const std::string& expected);

private:
    const nlohmann::json* take(const std::string& field);
    const nlohmann::json* takeRequired(const std::string& field, const std::string& expected);

    const nlohmann::json& m_object;
    std::string m_location;
    std::string m_prefix;
    document_faults& m_faults;
    std::set<std::string> m_known;
};

// Parses JSON text. Syntax errors and repeated keys are faults; the result is then a null value.
nlohmann::json parseStrictJson(std::string_view text, const std::string& location, document_faults&);

}
