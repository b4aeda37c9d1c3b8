#include "state/object_reader.h"

#include "state/bounded_json.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace sardinelb {

namespace {

using nlohmann::json;

// Longer values are truncated in messages.
constexpr std::size_t maxShownValueLength = 80;

std::string abbreviated(const json& value)
{
    std::string text = value.dump(-1, ' ', true, json::error_handler_t::replace);
    if (text.size() > maxShownValueLength)
        text = text.substr(0, maxShownValueLength) + "...";
    return text;
}

bool acceptsAnything(const std::string&) { return true; }

std::string numberText(double value) { return json(value).dump(); }

std::string quotedList(const std::vector<std::string>& names)
{
    std::string text;
    for (const std::string& name : names)
        text += (text.empty() ? "\"" : ", \"") + name + "\"";
    return text;
}

// Finds keys that occur twice in one object; the library itself keeps the last one silently.
class repeated_key_check {
public:
    bool operator()(int, json::parse_event_t event, json& parsed)
    {
        if (event == json::parse_event_t::object_start)
            m_keys.emplace_back();
        if (event == json::parse_event_t::object_end)
            m_keys.pop_back();
        if (event == json::parse_event_t::key && !m_keys.back().insert(parsed.get<std::string>()).second)
            repeated.push_back(parsed.get<std::string>());
        return true;
    }

    std::vector<std::string> repeated;

private:
    std::vector<std::set<std::string>> m_keys;
};

}

object_reader::object_reader(const json& object, std::string location, std::string prefix, document_faults& faults)
    : m_object(object)
    , m_location(std::move(location))
    , m_prefix(std::move(prefix))
    , m_faults(faults)
{
    if (!object.is_object())
        fault("", &object, "expected an object");
}

void object_reader::fault(const std::string& field, const json* value, const std::string& expected)
{
    const std::string path = field.empty() && !m_prefix.empty() ? m_prefix.substr(0, m_prefix.size() - 1) : m_prefix + field;
    m_faults.push_back({ m_location, path, value ? abbreviated(*value) : "", expected });
}

const json* object_reader::take(const std::string& field)
{
    m_known.insert(field);
    if (!m_object.is_object())
        return nullptr;
    const auto found = m_object.find(field);
    return found == m_object.end() ? nullptr : &*found;
}

const json* object_reader::takeRequired(const std::string& field, const std::string& expected)
{
    const json* value = take(field);
    if (!value && m_object.is_object())
        fault(field, nullptr, "missing; " + expected);
    return value;
}

std::string object_reader::requiredString(const std::string& field)
{
    return requiredText(field, acceptsAnything, "expected a non-empty string");
}

std::string object_reader::requiredText(
    const std::string& field, const std::function<bool(const std::string&)>& accepts, const std::string& expected)
{
    const json* value = takeRequired(field, expected);
    if (!value)
        return {};
    if (value->is_string()) {
        auto text = value->get<std::string>();
        if (!text.empty() && accepts(text))
            return text;
    }
    fault(field, value, expected);
    return {};
}

std::size_t object_reader::choice(const std::string& field, const std::vector<std::string>& names, bool required)
{
    const std::string expected = "expected one of " + quotedList(names);
    const json* value = required ? takeRequired(field, expected) : take(field);
    if (!value)
        return 0;
    const auto found
        = value->is_string() ? std::find(names.begin(), names.end(), value->get<std::string>()) : names.end();
    if (found == names.end()) {
        fault(field, value, expected);
        return 0;
    }
    return static_cast<std::size_t>(found - names.begin());
}

std::int64_t object_reader::requiredInteger(const std::string& field, std::int64_t minimum, std::int64_t maximum)
{
    const std::string expected
        = "expected a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    const json* value = takeRequired(field, expected);
    if (!value)
        return minimum;
    const bool isTooLarge
        = value->is_number_unsigned() && value->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
    if (value->is_number_integer() && !isTooLarge) {
        const auto number = value->get<std::int64_t>();
        if (number >= minimum && number <= maximum)
            return number;
    }
    fault(field, value, expected);
    return minimum;
}

double object_reader::requiredNumber(const std::string& field, double minimum, double maximum)
{
    const std::string expected = "expected a number from " + numberText(minimum) + " to " + numberText(maximum);
    const json* value = takeRequired(field, expected);
    if (!value)
        return minimum;
    if (value->is_number()) {
        const auto number = value->get<double>();
        if (number >= minimum && number <= maximum)
            return number;
    }
    fault(field, value, expected);
    return minimum;
}

bool object_reader::optionalFlag(const std::string& field)
{
    const json* value = take(field);
    if (!value)
        return false;
    if (value->is_boolean())
        return value->get<bool>();
    fault(field, value, "expected true or false");
    return false;
}

std::vector<std::string> object_reader::optionalStrings(
    const std::string& field, const std::function<bool(const std::string&)>& accepts, const std::string& expected)
{
    const json* value = take(field);
    if (!value)
        return {};
    if (!value->is_array()) {
        fault(field, value, "expected an array of strings");
        return {};
    }
    std::vector<std::string> texts;
    for (std::size_t index = 0; index < value->size(); ++index) {
        const json& element = (*value)[index];
        const bool isValid = element.is_string() && !element.get_ref<const std::string&>().empty()
            && accepts(element.get_ref<const std::string&>());
        if (isValid)
            texts.push_back(element.get<std::string>());
        else
            fault(field + "[" + std::to_string(index) + "]", &element, expected);
    }
    return texts;
}

std::map<std::string, std::string> object_reader::optionalStringMap(const std::string& field)
{
    const json* value = take(field);
    if (!value)
        return {};
    if (!value->is_object()) {
        fault(field, value, "expected an object of strings");
        return {};
    }
    std::map<std::string, std::string> texts;
    const std::string path = field + ".";
    for (const auto& [key, element] : value->items()) {
        if (element.is_string() && !element.get_ref<const std::string&>().empty())
            texts.emplace(key, element.get<std::string>());
        else
            fault(path + key, &element, "expected a non-empty string");
    }
    return texts;
}

const json* object_reader::requiredObject(const std::string& field)
{
    const json* value = takeRequired(field, "expected an object");
    if (value && !value->is_object()) {
        fault(field, value, "expected an object");
        return nullptr;
    }
    return value;
}

const json* object_reader::optionalValue(const std::string& field) { return take(field); }

void object_reader::finish()
{
    if (!m_object.is_object())
        return;
    const std::vector<std::string> known(m_known.begin(), m_known.end());
    for (const auto& [key, value] : m_object.items()) {
        if (!m_known.contains(key))
            fault(key, &value, "unknown field; expected one of " + quotedList(known));
    }
}

json parseStrictJson(std::string_view text, const std::string& location, document_faults& faults)
{
    if (isNestedTooDeeply(text)) {
        faults.push_back({ location, "", "", "nested too deeply" });
        return {};
    }
    if (hasMoreValues(text, maxDocumentValues)) {
        faults.push_back({ location, "", "", "has more than " + std::to_string(maxDocumentValues) + " values" });
        return {};
    }
    try {
        repeated_key_check check;
        json parsed = json::parse(text, std::ref(check));
        for (const std::string& key : check.repeated)
            faults.push_back({ location, key, "", "repeated field; expected it once" });
        return check.repeated.empty() ? parsed : json();
    } catch (const json::exception& error) {
        faults.push_back({ location, "", "", std::string("expected valid JSON: ") + error.what() });
        return {};
    }
}

}
