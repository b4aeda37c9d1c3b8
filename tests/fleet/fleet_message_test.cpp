#include "fleet/fleet_message.h"

#include <gtest/gtest.h>

#include <random>

namespace sardinelb::test {

class fleet_datagram : public testing::Test {
protected:
    static rank_message exampleRank()
    {
        rank_message message;
        message.group = group_id("g0-1");
        message.groupSize = 8;
        message.status.rank = rank_id(3);
        message.status.epoch = 2;
        message.status.step = step_number(812);
        message.status.map = map_version(4);
        message.status.armed = map_version(5);
        message.status.expertsBySet = { { 1, 2 }, {}, { 7 } };
        message.choices = { 5, 6, 7 };
        return message;
    }
};

TEST_F(fleet_datagram, rankReport_encodedAndDecoded_equal)
{
    const auto decoded = decode(encode(exampleRank()));
    ASSERT_TRUE(decoded);
    const auto& message = std::get<rank_message>(*decoded);
    EXPECT_EQ(message.status.expertsBySet, exampleRank().status.expertsBySet);
    EXPECT_EQ(message.choices, exampleRank().choices);
    EXPECT_EQ(message.status.armed, map_version(5));
    EXPECT_FALSE(message.status.held);
}

TEST_F(fleet_datagram, heartbeat_encodedAndDecoded_equal)
{
    entry_heartbeat_message heartbeat;
    heartbeat.daemon = daemon_id("e1");
    heartbeat.configuration = config_version(9);
    heartbeat.members = { { rank_id(1), "10.0.0.1:80" } };
    const auto decoded = decode(encode(heartbeat));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(std::get<entry_heartbeat_message>(*decoded).members.front().address, "10.0.0.1:80");
}

// Guards against crashes of a daemon by foreign or corrupted datagrams.
TEST_F(fleet_datagram, corruptedBytes_decoded_nothingOrAMessage)
{
    std::mt19937 random(7);
    const std::string whole = encode(exampleRank());
    for (int i = 0; i < 20000; ++i) {
        std::string bytes = whole.substr(0, random() % (whole.size() + 1));
        for (int flips = 0; flips < 3 && !bytes.empty(); ++flips)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        decode(bytes);
    }
    EXPECT_FALSE(decode(""));
    EXPECT_FALSE(decode("hello"));
}

}
