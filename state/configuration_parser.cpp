#include "state/configuration_parser.h"

#include "state/configuration_check.h"
#include "state/entity_json.h"
#include "state/object_reader.h"

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <set>

namespace sardinelb {

namespace {

using nlohmann::json;

// A field of the document and the kind of its elements.
struct document_section {
    const char* field;
    entity_kind kind;
};

constexpr std::array sections {
    document_section { "pools", entity_kind::Pool },
    document_section { "models", entity_kind::Model },
    document_section { "instances", entity_kind::Instance },
    document_section { "teams", entity_kind::Team },
    document_section { "runners", entity_kind::Runner },
    document_section { "services", entity_kind::ServiceRoute },
    document_section { "groups", entity_kind::RankGroup },
};

const char* const namingSchemesField = "naming_schemes";

// Parses all entities of a document.
class document_reader {
public:
    document_reader(const json& document, const std::string& file, document_faults& faults)
        : m_reader(document, file, "", faults)
        , m_file(file)
        , m_faults(faults)
    {
    }

    std::vector<entity> read()
    {
        readSchemes();
        for (const document_section& section : sections)
            readSection(section);
        m_reader.finish();
        return std::move(m_entities);
    }

private:
    void readSchemes()
    {
        const auto accepts = [](const std::string&) { return true; };
        for (const std::string& name : m_reader.optionalStrings(namingSchemesField, accepts, "expected a name"))
            add(entity_kind::NamingScheme, name, json::object(), m_file + ": " + namingSchemesField);
    }

    void readSection(const document_section& section)
    {
        const json* elements = m_reader.optionalValue(section.field);
        if (!elements)
            return;
        if (!elements->is_array()) {
            m_reader.fault(section.field, elements, "expected an array of objects");
            return;
        }
        for (std::size_t index = 0; index < elements->size(); ++index)
            readElement(section, index, (*elements)[index]);
    }

    void readElement(const document_section& section, std::size_t index, const json& element)
    {
        const std::string location = m_file + ": " + section.field + "[" + std::to_string(index) + "]";
        if (!element.is_object()) {
            m_faults.push_back({ location, "", element.dump(), "expected an object" });
            return;
        }
        const auto id = element.find("id");
        if (id == element.end() || !id->is_string()) {
            m_faults.push_back({ location, "id", id == element.end() ? "" : id->dump(), "expected a name" });
            return;
        }
        json fields = element;
        fields.erase("id");
        const auto name = id->get<std::string>();
        add(section.kind, name, fields, location + " \"" + name + "\"");
    }

    void add(entity_kind kind, const std::string& id, const json& fields, const std::string& location)
    {
        if (!m_seen.emplace(kind, id).second)
            m_faults.push_back({ location, "id", json(id).dump(), "repeated id; expected it once" });
        m_entities.push_back(entityFromJson(kind, id, fields, location, m_faults));
    }

    object_reader m_reader;
    const std::string& m_file;
    document_faults& m_faults;
    std::set<std::pair<entity_kind, std::string>> m_seen;
    std::vector<entity> m_entities;
};

nlohmann::ordered_json elementOf(const entity& value)
{
    nlohmann::ordered_json element { { "id", idOf(value) } };
    element.update(nlohmann::ordered_json(entityToJson(value)));
    return element;
}

}

document_result<std::vector<entity>> parseDocument(std::string_view text, const std::string& file)
{
    document_faults faults;
    const json document = parseStrictJson(text, file, faults);
    if (!faults.empty())
        return faults;
    std::vector<entity> entities = document_reader(document, file, faults).read();
    if (!faults.empty())
        return faults;
    return entities;
}

document_result<configuration> parseConfiguration(std::string_view text, const std::string& file)
{
    BOOST_OUTCOME_TRY(const std::vector<entity> entities, parseDocument(text, file));
    configuration result;
    for (const entity& value : entities)
        putEntity(result, value);
    document_faults faults = configurationFaults(result, file);
    if (!faults.empty())
        return faults;
    return result;
}

std::string documentOf(const configuration& current)
{
    nlohmann::ordered_json document;
    document[namingSchemesField] = current.namingSchemes;
    for (const document_section& section : sections)
        document[section.field] = json::array();
    for (const entity& value : entitiesOf(current)) {
        for (const document_section& section : sections) {
            if (section.kind == kindOf(value))
                document[section.field].push_back(elementOf(value));
        }
    }
    constexpr int indent = 2;
    return document.dump(indent) + "\n";
}

}
