#pragma once

#include "state/configuration.h"
#include "state/document_fault.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace sardinelb {

// Returns the JSON text of a whole configuration with its version and the version of every entity.
std::string snapshotToText(const configuration&);

// Some consecutive entities of a configuration.
struct snapshot_slice {
    // Position after the last entity.
    std::size_t next = 0;
    // JSON array of the entities with their versions.
    std::string text;
};

// Writes the entities from position `first` on, until the text has `maxBytes`. The cost depends on the size of the
// slice only, so that a daemon can send a large configuration without blocking for long.
snapshot_slice sliceToText(const configuration&, std::size_t first, std::size_t maxBytes);

// Adds the entities of a slice. References and names are not checked.
document_faults addSlice(configuration&, std::string_view text, const std::string& location);

// Parses a snapshot strictly. `location` names the object or the sender.
document_result<configuration> snapshotFromText(std::string_view text, const std::string& location);

}
