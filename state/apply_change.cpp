#include "state/apply_change.h"

#include "state/configuration_change.h"
#include "state/configuration_check.h"
#include "state/entity.h"
#include "state/entity_json.h"
#include "state/object_reader.h"

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>

#include <set>

namespace sardinelb {

namespace {

std::string describeEntity(const entity_update& update)
{
    return std::string(toString(update.kind)) + " \"" + update.id + "\"";
}

std::string locationOf(const configuration_change& change)
{
    return "change " + std::to_string(change.version.value());
}

state_result<void> checkVersion(const configuration& current, const configuration_change& change)
{
    if (change.version.value() == current.version.value() + 1)
        return boost::outcome_v2::success();
    return state_error { state_errc::Invalid, locationOf(change),
        "expected change " + std::to_string(current.version.value() + 1) };
}

state_result<void> checkBase(const configuration& current, const entity_update& update)
{
    // Naming schemes have no content, so two writers cannot overwrite each other's.
    if (update.kind == entity_kind::NamingScheme)
        return boost::outcome_v2::success();
    const std::optional<entity> existing = findEntity(current, update.kind, update.id);
    const config_version lastChange = existing ? changedAt(*existing) : config_version();
    if (lastChange == update.base)
        return boost::outcome_v2::success();
    const std::string found
        = existing ? "it was last changed by change " + std::to_string(lastChange.value()) : "it was removed";
    return state_error { state_errc::Conflict, describeEntity(update),
        found + ", but the author read it as of change " + std::to_string(update.base.value()) };
}

state_result<void> checkUpdates(const configuration& current, const configuration_change& change)
{
    std::set<std::pair<entity_kind, std::string>> seen;
    for (const entity_update& update : change.updates) {
        if (!seen.emplace(update.kind, update.id).second)
            return state_error { state_errc::Invalid, describeEntity(update), "expected one update per entity" };
        BOOST_OUTCOME_TRY(checkBase(current, update));
    }
    return boost::outcome_v2::success();
}

// Parses the entity that an update sets. The update must have a value.
state_result<entity> parseEntity(const configuration_change& change, const entity_update& update)
{
    document_faults faults;
    const std::string location = locationOf(change) + ": " + describeEntity(update);
    const nlohmann::json fields = parseStrictJson(*update.value, location, faults);
    if (!faults.empty())
        return toStateError(faults);
    entity value = entityFromJson(update.kind, update.id, fields, location, faults);
    if (!faults.empty())
        return toStateError(faults);
    setChangedAt(value, change.version);
    return value;
}

state_result<void> checkRemoval(const configuration& current, const entity_update& update)
{
    if (findEntity(current, update.kind, update.id))
        return boost::outcome_v2::success();
    return state_error { state_errc::NotFound, describeEntity(update), "it cannot be removed; it is not configured" };
}

}

state_result<void> applyCommittedChange(configuration& target, const configuration_change& change)
{
    BOOST_OUTCOME_TRY(checkVersion(target, change));
    BOOST_OUTCOME_TRY(checkUpdates(target, change));
    std::vector<entity> values;
    for (const entity_update& update : change.updates) {
        if (!update.value) {
            BOOST_OUTCOME_TRY(checkRemoval(target, update));
            continue;
        }
        BOOST_OUTCOME_TRY(entity value, parseEntity(change, update));
        values.push_back(std::move(value));
    }
    for (const entity_update& update : change.updates) {
        if (!update.value)
            removeEntity(target, update.kind, update.id);
    }
    for (const entity& value : values)
        putEntity(target, value);
    target.version = change.version;
    return boost::outcome_v2::success();
}

state_result<configuration> applyChange(configuration current, const configuration_change& change)
{
    BOOST_OUTCOME_TRY(applyCommittedChange(current, change));
    const document_faults faults = configurationFaults(current, locationOf(change));
    if (!faults.empty())
        return toStateError(faults);
    return current;
}

}
