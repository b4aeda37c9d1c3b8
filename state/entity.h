#pragma once

#include "state/configuration.h"
#include "state/entity_kind.h"
#include "state/naming_scheme.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sardinelb {

// One configured entity of any kind. The order of the alternatives is that of entity_kind.
using entity = std::variant<naming_scheme, pool, model, instance, team, runner, service_route, rank_group>;

entity_kind kindOf(const entity&);

// Canonical name of the entity.
std::string idOf(const entity&);

// Version of the change that last updated the entity. Naming schemes have no content to overwrite and return 0.
config_version changedAt(const entity&);

// Sets the version of the change that last updated the entity; no effect on a naming scheme.
void setChangedAt(entity&, config_version);

// All entities of a configuration, in the order of entity_kind and then of their names.
std::vector<entity> entitiesOf(const configuration&);

// Number of entities of a configuration.
std::size_t entityCount(const configuration&);

// Calls `visit` for the entities from position `first` on, in the order of entitiesOf, until it returns false.
void visitEntities(const configuration&, std::size_t first, const std::function<bool(const entity&)>& visit);

// Returns the entity, or nothing when it is not configured.
std::optional<entity> findEntity(const configuration&, entity_kind, const std::string& id);

// Inserts the entity or replaces the one of the same kind and name.
void putEntity(configuration&, const entity&);

// Removes the entity; returns whether it existed.
bool removeEntity(configuration&, entity_kind, const std::string& id);

}
