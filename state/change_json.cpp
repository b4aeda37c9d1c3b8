#include "state/change_json.h"

#include "state/entity_json.h"
#include "state/object_reader.h"

#include <nlohmann/json.hpp>

#include <limits>

namespace sardinelb {

namespace {

using nlohmann::json;

constexpr std::int64_t maxVersion = std::numeric_limits<std::int64_t>::max();
const char* const kindExpected = "expected the kind of an entity, as in \"team\"";

json updateToJson(const entity_update& update)
{
    json fields { { "kind", toString(update.kind) }, { "id", update.id }, { "base", update.base.value() } };
    if (update.value)
        fields["value"] = json::parse(*update.value);
    return fields;
}

bool isKind(const std::string& text) { return entityKindFrom(text).has_value(); }

entity_update updateFromJson(const json& fields, const std::string& location, document_faults& faults)
{
    object_reader reader(fields, location, "", faults);
    entity_update update;
    const std::string kindName = reader.requiredText("kind", isKind, kindExpected);
    update.kind = entityKindFrom(kindName).value_or(entity_kind::Team);
    update.id = reader.requiredString("id");
    update.base = config_version(static_cast<std::uint64_t>(reader.requiredInteger("base", 0, maxVersion)));
    const json* value = reader.optionalValue("value");
    reader.finish();
    if (!value)
        return update;
    if (!kindName.empty() && !update.id.empty())
        entityFromJson(update.kind, update.id, *value, location + " " + kindName + " \"" + update.id + "\"", faults);
    update.value = value->dump();
    return update;
}

void readUpdates(
    configuration_change& change, object_reader& reader, const std::string& location, document_faults& faults)
{
    const json* updates = reader.optionalValue("updates");
    if (!updates || !updates->is_array() || updates->empty()) {
        reader.fault("updates", updates, "expected an array of at least one update");
        return;
    }
    for (std::size_t index = 0; index < updates->size(); ++index) {
        const std::string updateLocation = location + ": updates[" + std::to_string(index) + "]";
        change.updates.push_back(updateFromJson((*updates)[index], updateLocation, faults));
    }
}

}

std::string changeToText(const configuration_change& change)
{
    json updates = json::array();
    for (const entity_update& update : change.updates)
        updates.push_back(updateToJson(update));
    const json document { { "version", change.version.value() }, { "author", change.author },
        { "token", change.token }, { "updates", updates } };
    return document.dump();
}

document_result<configuration_change> changeFromText(std::string_view text, const std::string& location)
{
    document_faults faults;
    const json document = parseStrictJson(text, location, faults);
    if (!faults.empty())
        return faults;
    object_reader reader(document, location, "", faults);
    configuration_change change;
    change.version = config_version(static_cast<std::uint64_t>(reader.requiredInteger("version", 1, maxVersion)));
    change.author = reader.requiredString("author");
    change.token = reader.requiredString("token");
    readUpdates(change, reader, location, faults);
    reader.finish();
    if (!faults.empty())
        return faults;
    return change;
}

}
