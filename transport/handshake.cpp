#include "transport/handshake.h"

#include "state/bounded_json.h"
#include "state/hex_text.h"

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <vector>

namespace sardinelb {

namespace {

using nlohmann::json;

constexpr std::size_t nonceBytes = 32;
constexpr int protocolVersion = 1;

std::string hmacHex(const std::string& key, const std::string& text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
        reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data(), &size);
    return toHex(digest.data(), size);
}

// The signed message is JSON text, which delimits the fields without a custom format.
std::string signedText(bool dialler, const peer_identity& identity, const std::string& acceptorNonce,
    const std::string& diallerNonce)
{
    return json { protocolVersion, dialler ? "dialler" : "acceptor", identity.daemon.value(),
        identity.number.value(), acceptorNonce, diallerNonce }
        .dump();
}

transport_error handshakeError(transport_errc code, std::string detail)
{
    return { code, "handshake", std::move(detail) };
}

}

std::string makeNonce()
{
    std::array<unsigned char, nonceBytes> bytes {};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    return toHex(bytes.data(), bytes.size());
}

std::string makeChallenge(const std::string& nonce)
{
    return json { { "protocol", protocolVersion }, { "nonce", nonce } }.dump();
}

transport_result<std::string> readChallenge(const std::string& text)
{
    const json message = parseBoundedJson(text);
    if (!message.is_object() || message.value("protocol", json()) != protocolVersion
        || !message.value("nonce", json()).is_string())
        return handshakeError(transport_errc::BadMessage, "not a challenge of protocol version 1");
    return message["nonce"].get<std::string>();
}

std::string makeProof(const std::string& key, bool dialler, const peer_identity& identity,
    const std::string& acceptorNonce, const std::string& diallerNonce)
{
    return json { { "daemon", identity.daemon.value() }, { "incarnation", identity.number.value() },
        { "nonce", diallerNonce }, { "proof", hmacHex(key, signedText(dialler, identity, acceptorNonce, diallerNonce)) } }
        .dump();
}

transport_result<peer_identity> readProof(const std::string& key, bool dialler, const std::string& text,
    const std::string& acceptorNonce, std::string& diallerNonce)
{
    const json message = parseBoundedJson(text);
    if (!message.is_object() || !message.value("daemon", json()).is_string()
        || !message.value("incarnation", json()).is_number_unsigned() || !message.value("nonce", json()).is_string()
        || !message.value("proof", json()).is_string())
        return handshakeError(transport_errc::BadMessage, "not a proof of protocol version 1");
    const std::string nonce = message["nonce"].get<std::string>();
    if (dialler)
        diallerNonce = nonce;
    else if (nonce != diallerNonce)
        return handshakeError(transport_errc::Unauthenticated, "the proof is for another connection");
    const peer_identity identity { daemon_id(message["daemon"].get<std::string>()),
        incarnation(message["incarnation"].get<std::uint64_t>()) };
    const std::string expected = hmacHex(key, signedText(dialler, identity, acceptorNonce, diallerNonce));
    const std::string proof = message["proof"].get<std::string>();
    if (proof.size() != expected.size() || CRYPTO_memcmp(proof.data(), expected.data(), proof.size()) != 0)
        return handshakeError(transport_errc::Unauthenticated, "the peer does not know the shared key");
    return identity;
}

}
