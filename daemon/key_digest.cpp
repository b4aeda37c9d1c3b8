#include "daemon/key_digest.h"

#include "state/hex_text.h"

#include <openssl/evp.h>

#include <array>

namespace sardinelb {

std::string keyDigest(std::string_view key)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int size = 0;
    EVP_Digest(key.data(), key.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return toHex(digest.data(), size);
}

std::string bearerKey(std::string_view authorization)
{
    constexpr std::string_view scheme = "Bearer ";
    if (!authorization.starts_with(scheme))
        return {};
    return std::string(authorization.substr(scheme.size()));
}

}
