#pragma once

#include "state/document_fault.h"
#include "state/ids.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sardinelb {

// Settings file of the command-line tool.
struct cli_settings {
    // IP address and port of the table service.
    std::string tableAddress;
    // IP address and port of the admin interface of each entry, by availability zone.
    std::map<availability_zone_id, std::vector<std::string>> entries;
    // Operator key, which the entries' admin interface requires.
    std::string operatorKey;
    // Name of the operator, recorded in each change.
    std::string author;
};

// Parses a settings file; unknown fields are errors. Fields: `table`, `entries` (object that maps a zone to an array of
// addresses), `operator_key` and `author`.
document_result<cli_settings> parseCliSettings(std::string_view text, const std::string& file);

}
