#pragma once

#include "state/strong_value.h"

#include <cstdint>

namespace sardinelb {

// Tokens of a model, prompt and completion together unless a declaration says otherwise.
using token_count = strong_value<struct token_count_tag, std::int64_t>;

using byte_count = strong_value<struct byte_count_tag, std::int64_t>;

}
