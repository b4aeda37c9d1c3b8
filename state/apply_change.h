#pragma once

#include "state/configuration.h"
#include "state/state_error.h"

namespace sardinelb {

struct configuration_change;

// Returns the configuration after a change that is to be committed. The change must carry the next version. Errors:
// Invalid (the version is not the next one, an update is malformed, repeated or leaves a dangling reference),
// NameCollision, NotFound (an entity to remove is not configured) and Conflict (an entity was changed after the version
// that the author read; the subject is the entity and the detail names both versions).
state_result<configuration> applyChange(configuration, const configuration_change&);

// Applies a committed change in place, or leaves the configuration as it is. The cost depends on the size of the change
// only: references and names are not checked again, because the writer has checked them with applyChange. Errors: those
// of applyChange except NameCollision.
state_result<void> applyCommittedChange(configuration&, const configuration_change&);

}
