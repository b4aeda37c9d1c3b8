#pragma once

#include "state/entity.h"
#include "state/entity_update.h"

#include <vector>

namespace sardinelb {

// Returns the updates that bring the configuration to the wanted entities. Other entities stay unless `prune` is set.
std::vector<entity_update> configurationDiff(
    const configuration&, const std::vector<entity>& wanted, bool prune);

// Returns the update that sets the entity, based on its current version; nothing if the value is unchanged.
std::optional<entity_update> updateFor(const configuration&, const entity&);

// Splits updates into groups of at most `maxBytes` of text. Entities come before those that refer to them; removals
// come last, in reverse order.
std::vector<std::vector<entity_update>> splitUpdates(std::vector<entity_update>, std::size_t maxBytes);

}
