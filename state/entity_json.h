#pragma once

#include "state/document_fault.h"
#include "state/entity.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace sardinelb {

// Returns the fields of an entity without its id and version. Fields that hold their default are left out.
nlohmann::json entityToJson(const entity&);

// Reads the fields of one entity strictly. `location` names the document and the entity. Faults are appended to the
// list; the result is meaningful only when none was added.
entity entityFromJson(
    entity_kind, const std::string& id, const nlohmann::json&, const std::string& location, document_faults&);

}
