#pragma once

#include "state/ids.h"

#include <string>
#include <utility>
#include <vector>

namespace sardinelb {

// Writes that take effect together, and only if every condition holds.
struct table_transaction {
    // A row must have this revision; revision 0 requires that the row does not exist.
    struct condition {
        std::string key;
        row_revision revision;
    };

    std::vector<condition> conditions;
    // Key and new value.
    std::vector<std::pair<std::string, std::string>> puts;
    std::vector<std::string> deletes;
};

}
