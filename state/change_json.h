#pragma once

#include "state/configuration_change.h"
#include "state/document_fault.h"

#include <string>
#include <string_view>

namespace sardinelb {

// Returns the JSON text of a change, as stored in the table and sent between daemons.
std::string changeToText(const configuration_change&);

// Parses a change strictly, including the fields of every entity. `location` names the row or the sender.
document_result<configuration_change> changeFromText(std::string_view text, const std::string& location);

}
