#include "transport/handshake.h"

#include <gtest/gtest.h>

namespace sardinelb {

namespace {

const std::string key = "0123456789abcdef";
const peer_identity entry { daemon_id("entry-0"), incarnation(5) };

// Message 2 of a handshake.
class handshake_test : public testing::Test {
protected:
    transport_result<peer_identity> read(const std::string& proof, bool dialler = true)
    {
        return readProof(key, dialler, proof, acceptorNonce, nonceRead);
    }

    static transport_errc codeOf(const transport_result<peer_identity>& result)
    {
        return result.has_value() ? transport_errc::Timeout : result.error().code;
    }

    std::string acceptorNonce = makeNonce();
    std::string diallerNonce = makeNonce();
    std::string nonceRead = diallerNonce;
};

TEST_F(handshake_test, bothProofsOfOneConnectionAreAccepted)
{
    const auto dialler = read(makeProof(key, true, entry, acceptorNonce, diallerNonce));
    ASSERT_TRUE(dialler.has_value());
    EXPECT_EQ(dialler.value().daemon, entry.daemon);
    EXPECT_EQ(dialler.value().number, entry.number);
    EXPECT_EQ(nonceRead, diallerNonce);
    EXPECT_TRUE(read(makeProof(key, false, entry, acceptorNonce, diallerNonce), false).has_value());
}

TEST_F(handshake_test, wrongKeyIsUnauthenticated)
{
    const auto result = read(makeProof("fedcba9876543210", true, entry, acceptorNonce, diallerNonce));
    EXPECT_EQ(codeOf(result), transport_errc::Unauthenticated);
}

// Guards against a recorded proof that is replayed on another connection.
TEST_F(handshake_test, replayedProofIsUnauthenticated)
{
    const std::string recorded = makeProof(key, true, entry, makeNonce(), diallerNonce);
    EXPECT_EQ(codeOf(read(recorded)), transport_errc::Unauthenticated);
    const std::string answer = makeProof(key, false, entry, acceptorNonce, makeNonce());
    EXPECT_EQ(codeOf(read(answer, false)), transport_errc::Unauthenticated);
}

// Guards against a peer without the key that reflects our own proof.
TEST_F(handshake_test, reflectedProofIsUnauthenticated)
{
    const std::string own = makeProof(key, true, entry, acceptorNonce, diallerNonce);
    EXPECT_EQ(codeOf(read(own, false)), transport_errc::Unauthenticated);
    const std::string theirs = makeProof(key, false, entry, acceptorNonce, diallerNonce);
    EXPECT_EQ(codeOf(read(theirs, true)), transport_errc::Unauthenticated);
}

// Guards against a valid proof with a changed name or incarnation.
TEST_F(handshake_test, changedIdentityIsUnauthenticated)
{
    std::string proof = makeProof(key, true, entry, acceptorNonce, diallerNonce);
    std::string renamed = proof;
    renamed.replace(renamed.find("entry-0"), 7, "entry-1");
    EXPECT_EQ(codeOf(read(renamed)), transport_errc::Unauthenticated);
    proof.replace(proof.find(":5,"), 3, ":6,");
    EXPECT_EQ(codeOf(read(proof)), transport_errc::Unauthenticated);
}

TEST_F(handshake_test, otherTextIsBadMessage)
{
    for (const char* text : { "", "{", "[]", "7", "null", "{}", R"({"daemon":"d","incarnation":-1,"nonce":"n","proof":"p"})",
             R"({"daemon":1,"incarnation":1,"nonce":"n","proof":"p"})", "\xff\xfe" }) {
        EXPECT_EQ(codeOf(read(text)), transport_errc::BadMessage) << text;
        EXPECT_FALSE(readChallenge(text).has_value()) << text;
    }
    EXPECT_FALSE(readChallenge(R"({"protocol":2,"nonce":"n"})").has_value());
}

}

}
