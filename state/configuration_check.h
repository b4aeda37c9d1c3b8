#pragma once

#include "state/document_fault.h"

#include <string>

namespace sardinelb {

struct configuration;

// Returns all dangling references, contradictions between entities and name collisions of a configuration. `location`
// names the document or change that produced it.
document_faults configurationFaults(const configuration&, const std::string& location);

}
