#pragma once

#include "state/ids.h"

#include <string>

namespace sardinelb {

// One row of the platform's table service.
struct table_row {
    std::string key;
    std::string value;
    row_revision revision;
};

}
