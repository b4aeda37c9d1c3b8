#pragma once

#include "transport/peer_identity.h"
#include "transport/transport_error.h"

#include <string>

namespace sardinelb {

// Mutual proof that both sides of a connection know the shared key: HMAC-SHA-256 over both nonces and the identity.
// Three messages of JSON text:
// 1. acceptor: its nonce;
// 2. dialler: its nonce, its identity and its proof;
// 3. acceptor: its identity and its proof.
// Then both sides send frames. The signature covers the role, so that a proof cannot be reflected.

// Maximum size of one handshake message.
constexpr std::size_t maxHandshakeBytes = 1024;

// Returns 32 random bytes as hexadecimal text.
std::string makeNonce();

std::string makeChallenge(const std::string& nonce);

// Returns the nonce of a challenge. Error: BadMessage.
transport_result<std::string> readChallenge(const std::string& text);

// Makes message 2 (dialler) or message 3 (acceptor).
std::string makeProof(const std::string& key, bool dialler, const peer_identity&, const std::string& acceptorNonce,
    const std::string& diallerNonce);

// Checks message 2 or 3. Message 2 sets `diallerNonce`; message 3 must contain the same nonce. Errors: BadMessage,
// Unauthenticated.
transport_result<peer_identity> readProof(const std::string& key, bool dialler, const std::string& text,
    const std::string& acceptorNonce, std::string& diallerNonce);

}
