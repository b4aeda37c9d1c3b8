#pragma once

#include "state/ids.h"

#include <string>
#include <vector>

namespace sardinelb {

// Text for log lines: the ids in hexadecimal, as callers state them, separated by commas.
std::string describe(const std::vector<prompt_part_id>&);

}
