#include "cli/configuration_diff.h"

#include "state/entity_json.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace sardinelb {

namespace {

// Bytes of an update in addition to its id and value: kind, base version and punctuation.
constexpr std::size_t updateOverheadBytes = 120;

std::size_t estimatedBytes(const entity_update& update)
{
    return updateOverheadBytes + update.id.size() + (update.value ? update.value->size() : 0);
}

bool comesBefore(const entity_update& left, const entity_update& right)
{
    if (left.value.has_value() != right.value.has_value())
        return left.value.has_value();
    return left.value ? left.kind < right.kind : left.kind > right.kind;
}

}

std::optional<entity_update> updateFor(const configuration& current, const entity& wanted)
{
    const entity_kind kind = kindOf(wanted);
    const std::string id = idOf(wanted);
    const std::string value = entityToJson(wanted).dump();
    const std::optional<entity> existing = findEntity(current, kind, id);
    if (existing && entityToJson(*existing).dump() == value)
        return std::nullopt;
    return entity_update { kind, id, value, existing ? changedAt(*existing) : config_version() };
}

std::vector<entity_update> configurationDiff(
    const configuration& current, const std::vector<entity>& wanted, bool prune)
{
    std::vector<entity_update> updates;
    std::set<std::pair<entity_kind, std::string>> wantedIds;
    for (const entity& value : wanted) {
        wantedIds.emplace(kindOf(value), idOf(value));
        if (auto update = updateFor(current, value))
            updates.push_back(std::move(*update));
    }
    if (!prune)
        return updates;
    for (const entity& existing : entitiesOf(current)) {
        if (!wantedIds.contains({ kindOf(existing), idOf(existing) }))
            updates.push_back({ kindOf(existing), idOf(existing), std::nullopt, changedAt(existing) });
    }
    return updates;
}

std::vector<std::vector<entity_update>> splitUpdates(std::vector<entity_update> updates, std::size_t maxBytes)
{
    std::stable_sort(updates.begin(), updates.end(), comesBefore);
    std::vector<std::vector<entity_update>> groups;
    std::size_t size = 0;
    for (entity_update& update : updates) {
        const std::size_t added = estimatedBytes(update);
        if (groups.empty() || size + added > maxBytes) {
            groups.emplace_back();
            size = 0;
        }
        size += added;
        groups.back().push_back(std::move(update));
    }
    return groups;
}

}
