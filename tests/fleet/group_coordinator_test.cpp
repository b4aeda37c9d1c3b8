#include "fleet/demand_report_message.h"
#include "fleet/event_log.h"
#include "fleet/fleet_message.h"
#include "fleet/group_coordinator.h"

#include <gtest/gtest.h>

#include <vector>

namespace sardinelb::test {

using std::chrono::milliseconds;

// A coordinator of a group of four ranks with two sets of eight experts.
class coordinator_input : public testing::Test {
protected:
    coordinator_input()
        : log("test-agent")
        , coordinator(group_id("g"), rank_id(0), 4, log, group_coordinator::hooks { [this](const map_order& order) { orders.push_back(order); }, [](const pass_hold&) {}, [](const std::string&, const std::string&) {} })
    {
        coordinator.setLimits({ 4, 2, milliseconds(10), 6, 1e9 });
    }

    // Reports of all ranks and of the demand for a second, as often as the coordinator advances.
    void run(const std::vector<std::size_t>& demandSizes, expert_number firstExpert = 0)
    {
        for (milliseconds now(1000); now < milliseconds(2000); now += milliseconds(100)) {
            reportRanks(time_point(now), firstExpert);
            for (const std::size_t size : demandSizes)
                reportDemand(size, time_point(now));
            coordinator.advance(time_point(now), true);
        }
    }

    void reportRanks(time_point now, expert_number firstExpert)
    {
        for (std::uint32_t rank = 0; rank < 4; ++rank) {
            rank_message message;
            message.group = group_id("g");
            message.groupSize = 4;
            message.status.rank = rank_id(rank);
            message.status.epoch = 1;
            message.status.isWitness = true;
            const auto expert = static_cast<expert_number>(firstExpert + 2 * rank);
            message.status.expertsBySet = { { expert, static_cast<expert_number>(expert + 1) }, { expert, static_cast<expert_number>(expert + 1) } };
            coordinator.onReport(message, now);
        }
    }

    void reportDemand(std::size_t counts, time_point now)
    {
        demand_report_message message { group_id("g"), 1, { 100, std::vector<std::uint8_t>(counts, 1) } };
        if (counts > 0)
            message.choices.values[0] = 250;
        coordinator.onDemand(message, now);
    }

    event_log log;
    std::vector<map_order> orders;
    group_coordinator coordinator;
};

TEST_F(coordinator_input, oneExpertInDemand_planned_ordersAMap)
{
    run({ 16 });
    EXPECT_EQ(orders.size(), 4U);
}

// Guards against a crash of the coordinator by demand reports with other numbers of experts than the ranks hold.
TEST_F(coordinator_input, demandReportsOfOtherSizes_planned_noMap)
{
    run({ 5, 2, 0 });
    EXPECT_TRUE(orders.empty());
}

// Guards against a crash by ranks that report experts which nobody counts.
TEST_F(coordinator_input, ranksHoldUnknownExperts_planned_noMap)
{
    run({ 16 }, 9000);
    EXPECT_TRUE(orders.empty());
}

}
