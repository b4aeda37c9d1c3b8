#include "fleet/fleet_message.h"
#include "serving/prompt_quarantine.h"
#include "serving/runner_limit.h"

#include <gtest/gtest.h>

#include <iterator>
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
        message.status.armedStep = step_number(12);
        message.status.expertsBySet = { { 1, 2 }, {}, { 7 } };
        message.address = "10.0.0.3:80";
        return message;
    }

    static entry_heartbeat_message exampleHeartbeat()
    {
        entry_heartbeat_message heartbeat;
        heartbeat.daemon = daemon_id("e1");
        heartbeat.configuration = config_version(9);
        heartbeat.runnerList = { store_epoch(2), row_revision(31) };
        heartbeat.members = { { rank_id(1), "10.0.0.1:80", std::chrono::milliseconds(70) } };
        heartbeat.groups = { { group_id("g0-1"), heartbeat.members } };
        heartbeat.promptParts = { { pool_id("p"), prompt_part_id(66), 1, { { runner_process_id(5), std::chrono::milliseconds(40) } }, std::chrono::seconds(2), std::chrono::seconds(60), 3 } };
        heartbeat.runnerLimits = { { runner_process_id(5), 2.2, std::chrono::milliseconds(30) }, { runner_process_id(6), std::nullopt, {} } };
        return heartbeat;
    }

    static delegated_order_message exampleOrder()
    {
        delegated_order_message message;
        message.id = 7;
        message.order = { map_order::kind::Prepare, rank_id(3), 2, map_version(5), {}, {} };
        message.base = map_version(4);
        message.ranks = 8;
        message.delta.changes = { { 1, 3, { 7, 8 } }, { 2, 0, {} } };
        return message;
    }
};

TEST_F(fleet_datagram, rankReport_encodedAndDecoded_equal)
{
    const auto decoded = decode(encode(exampleRank()));
    ASSERT_TRUE(decoded);
    const auto& message = std::get<rank_message>(*decoded);
    EXPECT_EQ(message.status.expertsBySet, exampleRank().status.expertsBySet);
    EXPECT_EQ(message.address, "10.0.0.3:80");
    EXPECT_EQ(message.status.armed, map_version(5));
    EXPECT_EQ(message.status.armedStep, step_number(12));
    EXPECT_FALSE(message.status.held);
}

TEST_F(fleet_datagram, heartbeat_encodedAndDecoded_equal)
{
    const auto decoded = decode(encode(exampleHeartbeat()));
    ASSERT_TRUE(decoded);
    const auto& message = std::get<entry_heartbeat_message>(*decoded);
    EXPECT_EQ(message.runnerList, exampleHeartbeat().runnerList);
    ASSERT_EQ(message.runnerLimits.size(), 2U);
    EXPECT_EQ(message.runnerLimits[0].runner, runner_process_id(5));
    EXPECT_EQ(message.runnerLimits[0].requestsPerSecond, 2.2);
    EXPECT_EQ(message.runnerLimits[0].age, std::chrono::milliseconds(30));
    EXPECT_FALSE(message.runnerLimits[1].requestsPerSecond);
    ASSERT_EQ(message.promptParts.size(), 1U);
    const prompt_part_evidence& told = message.promptParts.front();
    EXPECT_EQ(told.pool, pool_id("p"));
    EXPECT_EQ(told.part, prompt_part_id(66));
    EXPECT_EQ(told.position, 1U);
    ASSERT_EQ(told.crashes.size(), 1U);
    EXPECT_EQ(told.crashes.front().age, std::chrono::milliseconds(40));
    EXPECT_EQ(told.answerAge, std::chrono::seconds(2));
    EXPECT_EQ(told.quarantineLeft, std::chrono::seconds(60));
    EXPECT_EQ(told.quarantineCount, 3U);
    EXPECT_EQ(message.members.front().address, "10.0.0.1:80");
    ASSERT_EQ(message.groups.size(), 1U);
    EXPECT_EQ(message.groups.front().members.front().age, std::chrono::milliseconds(70));
}

TEST_F(fleet_datagram, demandReportAndRoute_encodedAndDecoded_equal)
{
    const auto report = decode(encode(demand_report_message { group_id("g0-1"), 2, { 3, { 1, 0, 255 } } }));
    ASSERT_TRUE(report);
    EXPECT_EQ(std::get<demand_report_message>(*report).choices.values, (std::vector<std::uint8_t> { 1, 0, 255 }));
    EXPECT_EQ(std::get<demand_report_message>(*report).choices.scale, 3U);
    const auto route = decode(encode(demand_route_message { group_id("g0-1"), 2, "10.0.0.9:80", std::chrono::milliseconds(165) }));
    ASSERT_TRUE(route);
    EXPECT_EQ(std::get<demand_route_message>(*route).collector, "10.0.0.9:80");
    EXPECT_EQ(std::get<demand_route_message>(*route).interval, std::chrono::milliseconds(165));
}

TEST_F(fleet_datagram, delegatedOrder_encodedAndDecoded_equal)
{
    const auto decoded = decode(encode(exampleOrder()));
    ASSERT_TRUE(decoded);
    const auto& message = std::get<delegated_order_message>(*decoded);
    EXPECT_EQ(message.order.version, map_version(5));
    EXPECT_EQ(message.base, map_version(4));
    EXPECT_EQ(message.delta.changes, exampleOrder().delta.changes);
    const auto result = decode(encode(delegated_result_message { 7, delegated_result_message::outcome::BaseUnknown }));
    ASSERT_TRUE(result);
    EXPECT_EQ(std::get<delegated_result_message>(*result).result, delegated_result_message::outcome::BaseUnknown);
}

// Guards against crashes of a daemon by foreign or corrupted datagrams.
TEST_F(fleet_datagram, corruptedBytes_decoded_nothingOrAMessage)
{
    std::mt19937 random(7);
    const std::string examples[] = { encode(exampleRank()), encode(exampleOrder()), encode(exampleHeartbeat()) };
    for (int i = 0; i < 60000; ++i) {
        const std::string& whole = examples[i % std::size(examples)];
        std::string bytes = whole.substr(0, random() % (whole.size() + 1));
        for (int flips = 0; flips < 3 && !bytes.empty(); ++flips)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        decode(bytes);
    }
    EXPECT_FALSE(decode(""));
    EXPECT_FALSE(decode("hello"));
}

// Guards against a corrupted heartbeat that crashes an entry, or that keeps out a prompt part or a runner for good.
TEST_F(fleet_datagram, corruptedHeartbeat_applied_endsByItself)
{
    std::mt19937 random(9);
    const std::string whole = encode(exampleHeartbeat());
    const time_point now { std::chrono::hours(2000) };
    int applied = 0;
    for (int i = 0; i < 20000; ++i) {
        std::string bytes = whole;
        for (int flips = 0; flips < 3; ++flips)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        const auto decoded = decode(bytes);
        const auto* heartbeat = decoded ? std::get_if<entry_heartbeat_message>(&*decoded) : nullptr;
        if (!heartbeat)
            continue;
        ++applied;
        prompt_quarantine quarantine([] { return 0.99; });
        for (const prompt_part_evidence& told : heartbeat->promptParts) {
            quarantine.onEvidence(told, now);
            EXPECT_FALSE(quarantine.quarantineLeft(told.pool, { told.part }, now + std::chrono::hours(2)));
        }
        runner_limit limit;
        for (const runner_limit_update& update : heartbeat->runnerLimits) {
            limit.onUpdate(update, now);
            EXPECT_FALSE(limit.sendable(now + std::chrono::minutes(1)));
        }
    }
    EXPECT_GT(applied, 1000);
}

}
