#pragma once

#include "state/ids.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sardinelb {

// Text for log lines: the ids in hexadecimal, as callers state them, separated by commas.
std::string describe(const std::vector<prompt_part_id>&);

// Reads one id as describe() writes it. Returns nothing for any other text.
std::optional<prompt_part_id> parsePromptPart(std::string_view);

}
