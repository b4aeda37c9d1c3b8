#include "state/snapshot_json.h"

#include "state/configuration_check.h"
#include "state/entity.h"
#include "state/entity_json.h"
#include "state/object_reader.h"

#include <nlohmann/json.hpp>

#include <limits>

namespace sardinelb {

namespace {

using nlohmann::json;

constexpr std::int64_t maxVersion = std::numeric_limits<std::int64_t>::max();

json entryOf(const entity& value)
{
    return json { { "kind", toString(kindOf(value)) }, { "id", idOf(value) },
        { "changed_at", changedAt(value).value() }, { "value", entityToJson(value) } };
}

config_version readVersion(object_reader& reader, const std::string& field)
{
    return config_version(static_cast<std::uint64_t>(reader.requiredInteger(field, 0, maxVersion)));
}

void readEntry(configuration& target, const json& entry, const std::string& location, document_faults& faults)
{
    object_reader reader(entry, location, "", faults);
    const auto isKind = [](const std::string& text) { return entityKindFrom(text).has_value(); };
    const auto kind = entityKindFrom(reader.requiredText("kind", isKind, "expected the kind of an entity"));
    const std::string id = reader.requiredString("id");
    const config_version version = readVersion(reader, "changed_at");
    const json* fields = reader.requiredObject("value");
    reader.finish();
    if (!kind || !fields)
        return;
    entity value = entityFromJson(*kind, id, *fields, location, faults);
    setChangedAt(value, version);
    putEntity(target, value);
}

}

std::string snapshotToText(const configuration& current)
{
    json entries = json::array();
    for (const entity& value : entitiesOf(current))
        entries.push_back(entryOf(value));
    return json { { "version", current.version.value() }, { "entities", entries } }.dump();
}

snapshot_slice sliceToText(const configuration& current, std::size_t first, std::size_t maxBytes)
{
    snapshot_slice slice { first, "[" };
    visitEntities(current, first, [&](const entity& value) {
        slice.text += slice.next == first ? "" : ",";
        slice.text += entryOf(value).dump();
        ++slice.next;
        return slice.text.size() < maxBytes;
    });
    slice.text += "]";
    return slice;
}

document_faults addSlice(configuration& target, std::string_view text, const std::string& location)
{
    document_faults faults;
    const json entries = parseStrictJson(text, location, faults);
    if (faults.empty() && !entries.is_array())
        faults.push_back({ location, "", "", "expected an array" });
    if (!faults.empty())
        return faults;
    for (std::size_t index = 0; index < entries.size(); ++index)
        readEntry(target, entries[index], location + "[" + std::to_string(index) + "]", faults);
    return faults;
}

document_result<configuration> snapshotFromText(std::string_view text, const std::string& location)
{
    document_faults faults;
    const json document = parseStrictJson(text, location, faults);
    if (!faults.empty())
        return faults;
    object_reader reader(document, location, "", faults);
    configuration result;
    result.version = readVersion(reader, "version");
    const json* entries = reader.optionalValue("entities");
    if (!entries || !entries->is_array()) {
        reader.fault("entities", entries, "expected an array");
        return faults;
    }
    for (std::size_t index = 0; index < entries->size(); ++index)
        readEntry(result, (*entries)[index], location + ": entities[" + std::to_string(index) + "]", faults);
    reader.finish();
    if (faults.empty())
        faults = configurationFaults(result, location);
    if (!faults.empty())
        return faults;
    return result;
}

}
