#pragma once

#include <string>

namespace sardinelb {

// Returns 128 random bits as 32 hexadecimal digits.
std::string randomToken();

}
