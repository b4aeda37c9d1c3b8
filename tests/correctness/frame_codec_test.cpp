#include "protocol/frame_codec.h"
#include "tests/support/random_frames.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sardinelb {

namespace {

// Guards against fields that the codec omits or swaps: a decoded frame must encode to the same bytes, and its header and
// message type must match.
RC_GTEST_PROP(frame_codec_test, everyMessageRoundTrips, ())
{
    const frame sent = random_frames::any();
    const std::string bytes = encodeFrame(sent);
    const auto received = decodeFrame(bytes);
    RC_ASSERT(received.has_value());
    RC_ASSERT(received.value().sender == sent.sender);
    RC_ASSERT(received.value().senderIncarnation == sent.senderIncarnation);
    RC_ASSERT(received.value().version == sent.version);
    RC_ASSERT(received.value().message.index() == sent.message.index());
    RC_ASSERT(encodeFrame(received.value()) == bytes);
}

// Guards against two swapped fields of the same type. Equal bytes after a round trip do not reveal such a swap.
TEST(frame_codec_test, fieldsOfSubmitAreNotSwapped)
{
    submit_message m;
    m.attempt = { request_id("r"), 3 };
    m.expectedIncarnation = incarnation(4);
    m.team = team_id("team");
    m.serviceClass = service_class::Batch;
    m.weight = 2.5;
    m.idempotent = true;
    m.dispatchWithin = duration(5);
    m.answerWithin = duration(6);
    m.cost = { token_count(7), token_count(8) };
    m.prefixDigest = 9;
    m.kind = pool_kind::Service;
    m.method = "POST";
    m.target = "/bookings";
    m.body = std::string("a\0b", 3);
    m.maxTokens = 10;
    m.resumeFrom = 11;
    const auto received = decodeFrame(encodeFrame({ daemon_id("e"), incarnation(1), config_version(2), m }));
    ASSERT_TRUE(received.has_value());
    const auto& r = std::get<submit_message>(received.value().message);
    EXPECT_EQ(r.attempt, m.attempt);
    EXPECT_EQ(r.expectedIncarnation, m.expectedIncarnation);
    EXPECT_EQ(r.team, m.team);
    EXPECT_EQ(r.serviceClass, m.serviceClass);
    EXPECT_EQ(r.weight, m.weight);
    EXPECT_EQ(r.idempotent, m.idempotent);
    EXPECT_EQ(r.dispatchWithin, m.dispatchWithin);
    EXPECT_EQ(r.answerWithin, m.answerWithin);
    EXPECT_EQ(r.cost.promptTokens, m.cost.promptTokens);
    EXPECT_EQ(r.cost.completionTokens, m.cost.completionTokens);
    EXPECT_EQ(r.prefixDigest, m.prefixDigest);
    EXPECT_EQ(r.kind, m.kind);
    EXPECT_EQ(r.method, m.method);
    EXPECT_EQ(r.target, m.target);
    EXPECT_EQ(r.body, m.body);
    EXPECT_EQ(r.maxTokens, m.maxTokens);
    EXPECT_EQ(r.resumeFrom, m.resumeFrom);
}

}

}
