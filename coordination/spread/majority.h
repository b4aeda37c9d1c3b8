#pragma once

#include <cstddef>

namespace sardinelb {

// Smallest number of members of which any two sets intersect.
constexpr std::size_t majorityOf(std::size_t members) { return members / 2 + 1; }

}
