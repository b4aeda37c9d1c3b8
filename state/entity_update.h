#pragma once

#include "state/entity_kind.h"
#include "state/ids.h"

#include <optional>
#include <string>

namespace sardinelb {

// Sets or removes one entity.
struct entity_update {
    entity_kind kind = entity_kind::Team;
    std::string id;
    // Fields of the entity as JSON text (entity_json.h); absent when the entity is removed.
    std::optional<std::string> value;
    // Value of changedAt that the author read; 0 when the entity did not exist. Not checked for naming schemes.
    config_version base;

    friend bool operator==(const entity_update&, const entity_update&) = default;
};

}
