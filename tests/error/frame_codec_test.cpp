#include "protocol/frame_codec.h"

#include "protocol/generated/frame_generated.h"
#include "tests/support/random_frames.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sardinelb {

namespace {

// Guards against a read past the end of a truncated frame: decoding fails or succeeds, but never crashes.
RC_GTEST_PROP(frame_codec_test, truncatedBytesDoNotCrash, ())
{
    const std::string bytes = encodeFrame(random_frames::any());
    const auto length = *rc::gen::inRange<std::size_t>(0, bytes.size());
    const auto decoded = decodeFrame(std::string_view(bytes).substr(0, length));
    RC_ASSERT(decoded.has_value() || !decoded.error().detail.empty());
}

// Guards against following corrupted offsets and types.
RC_GTEST_PROP(frame_codec_test, flippedBitsDoNotCrash, ())
{
    std::string bytes = encodeFrame(random_frames::any());
    const auto flips = *rc::gen::inRange(1, 8);
    for (int i = 0; i < flips; ++i) {
        const auto bit = *rc::gen::inRange<std::size_t>(0, bytes.size() * 8);
        bytes[bit / 8] = static_cast<char>(static_cast<unsigned char>(bytes[bit / 8]) ^ (1U << (bit % 8)));
    }
    const auto decoded = decodeFrame(bytes);
    RC_ASSERT(decoded.has_value() || !decoded.error().detail.empty());
}

RC_GTEST_PROP(frame_codec_test, randomBytesDoNotCrash, (const std::string& bytes))
{
    const auto decoded = decodeFrame(bytes);
    RC_ASSERT(decoded.has_value() || !decoded.error().detail.empty());
}

TEST(frame_codec_test, oversizedFrameIsTooLarge)
{
    const auto decoded = decodeFrame(std::string(maxFrameBytes + 1, '\0'));
    ASSERT_FALSE(decoded.has_value());
    EXPECT_EQ(decoded.error().code, protocol_errc::TooLarge);
}

// Guards against a crash of the daemon: the verifier of FlatBuffers accepts a message type without a message.
TEST(frame_codec_test, messageTypeWithoutMessageIsMalformed)
{
    for (int type = 1; type <= static_cast<int>(wire::any_message::MAX); ++type) {
        flatbuffers::FlatBufferBuilder out;
        const auto sender = out.CreateString("d");
        out.Finish(wire::Createframe(out, sender, 1, 1, static_cast<wire::any_message>(type), 0));
        const std::string bytes(reinterpret_cast<const char*>(out.GetBufferPointer()), out.GetSize());
        const auto decoded = decodeFrame(bytes);
        ASSERT_FALSE(decoded.has_value()) << type;
        EXPECT_EQ(decoded.error().subject, "message") << type;
    }
}

TEST(frame_codec_test, frameWithoutSenderIsMalformed)
{
    const auto decoded = decodeFrame(encodeFrame({ daemon_id(), incarnation(1), config_version(1), std::monostate() }));
    ASSERT_FALSE(decoded.has_value());
    EXPECT_EQ(decoded.error().subject, "sender");
}

// Guards against attempts without an identifier, and against credit messages that withdraw credit already given.
TEST(frame_codec_test, invalidFieldIsNamed)
{
    const auto invalidFieldOf = [](peer_message message) {
        const auto decoded
            = decodeFrame(encodeFrame({ daemon_id("d"), incarnation(1), config_version(1), std::move(message) }));
        return decoded.has_value() ? std::string("decoded") : decoded.error().subject;
    };
    const attempt_id attempt { request_id("r"), 1 };
    EXPECT_EQ(invalidFieldOf(cancel_message { { request_id(), 1 } }), "attempt");
    EXPECT_EQ(invalidFieldOf(cancel_message { { request_id("r"), 0 } }), "attempt");
    EXPECT_EQ(invalidFieldOf(credit_message { attempt, byte_count(0) }), "bytes");
    EXPECT_EQ(invalidFieldOf(credit_message { attempt, byte_count(-1) }), "bytes");
    EXPECT_EQ(invalidFieldOf(admission_message { attempt, static_cast<refusal_reason>(99), {} }), "refusal");
    submit_message submit;
    submit.attempt = attempt;
    submit.weight = 0;
    EXPECT_EQ(invalidFieldOf(submit), "weight");
}

}

}
