#pragma once

#include <cstddef>

namespace sardinelb {

// Smallest size at which any two subsets of the members intersect.
constexpr std::size_t majorityOf(std::size_t members) { return members / 2 + 1; }

}
