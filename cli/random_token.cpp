#include "cli/random_token.h"

#include <array>
#include <cstdio>
#include <random>

namespace sardinelb {

std::string randomToken()
{
    std::random_device source;
    std::string token;
    for (int word = 0; word < 4; ++word) {
        std::array<char, 9> digits {};
        std::snprintf(digits.data(), digits.size(), "%08x", source());
        token += digits.data();
    }
    return token;
}

}
