#include "state/name_digest.h"

#include <xxhash.h>

namespace sardinelb {

std::uint64_t nameDigest(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}
