#include "fleet/demand_reporting.h"
#include "fleet/held_experts_filter.h"
#include "fleet/runner_report_filter.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

namespace sardinelb::test {

using std::chrono::milliseconds;
using verdict = runner_report_filter::verdict;

// An agent that reads the reports of its runner, some of which have a wrong value.
class wrong_report : public testing::Test {
protected:
    wrong_report()
    {
        sound.load.group = group_id("g");
        sound.load.rank = rank_id(2);
        sound.load.startedAtMs = 1000;
        sound.groupSize = 8;
        sound.status.rank = rank_id(2);
        sound.status.epoch = 1;
        sound.status.step = step_number(500);
        sound.status.map = map_version(3);
        filter.onReport(sound);
        filter.onReport(sound);
    }

    using change = std::function<void(platform::runner_report&)>;

    platform::runner_report with(const change& apply) const
    {
        platform::runner_report report = sound;
        apply(report);
        return report;
    }

    static std::vector<std::pair<std::string, change>> changes()
    {
        return {
            { "group", [](auto& report) { report.load.group = group_id("h"); } },
            { "size", [](auto& report) { report.groupSize = 9; } },
            { "rank", [](auto& report) { report.load.rank = rank_id(3); } },
            { "born", [](auto& report) { report.load.startedAtMs = 1001; } },
            { "state", [](auto& report) { report.load.isGroupOpen = !report.load.isGroupOpen; } },
            { "epoch", [](auto& report) { report.status.epoch = 2; } },
            { "map", [](auto& report) { report.status.map = map_version(4); } },
            { "prepared", [](auto& report) { report.status.prepared = map_version(6); } },
            { "armed", [](auto& report) { report.status.armed = map_version(6); } },
            { "held", [](auto& report) { report.status.held = step_number(510); } },
            { "step", [](auto& report) { report.status.step = step_number(100500); } },
            { "step", [](auto& report) { report.status.step = step_number(100); } },
        };
    }

    platform::runner_report sound;
    runner_report_filter filter;
};

// Guards against a decision by one wrong value, such as a pass released because a rank seemed to be armed.
TEST_F(wrong_report, oneWrongValue_thenSound_neverUsed)
{
    for (const auto& [name, apply] : changes()) {
        EXPECT_EQ(filter.onReport(with(apply)), verdict::Unconfirmed) << name;
        EXPECT_EQ(filter.onReport(sound), verdict::Accepted) << name;
        ASSERT_NE(filter.contradictedField(), nullptr) << name;
        EXPECT_EQ(filter.contradictedField(), name);
    }
}

// Guards against an agent that never learns of a real change.
TEST_F(wrong_report, changeReportedTwice_usedFromTheSecond)
{
    for (const auto& [name, apply] : changes()) {
        EXPECT_EQ(filter.onReport(with(apply)), verdict::Unconfirmed) << name;
        EXPECT_EQ(filter.onReport(with(apply)), verdict::Accepted) << name;
        EXPECT_EQ(filter.contradictedField(), nullptr) << name;
        filter.onReport(sound);
        EXPECT_EQ(filter.onReport(sound), verdict::Accepted) << name;
    }
}

TEST_F(wrong_report, passesAndLoadGoOn_usedAtOnce)
{
    for (int i = 0; i < 20; ++i) {
        sound.status.step = step_number(sound.status.step.value() + 20);
        sound.load.running = static_cast<std::uint32_t>(i);
        EXPECT_EQ(filter.onReport(sound), verdict::Accepted);
    }
}

TEST_F(wrong_report, firstReport_usedOnceConfirmed)
{
    runner_report_filter started;
    EXPECT_EQ(started.onReport(sound), verdict::Unconfirmed);
    EXPECT_EQ(started.onReport(sound), verdict::Accepted);
}

// An agent that reads the list of its runner's experts.
class wrong_list : public testing::Test {
protected:
    platform::held_experts list(std::vector<expert_number> experts, std::uint64_t map = 3) const { return { 1, map_version(map), { std::move(experts) } }; }

    const std::vector<std::vector<expert_number>>* known() const { return filter.experts(1, map_version(3)); }

    static time_point at(int ms) { return time_point(milliseconds(ms)); }

    held_experts_filter filter;
};

// Guards against a wrong list that stays with the coordinator until the next switch, which it may prevent for good.
TEST_F(wrong_list, wrongThenSound_soundOneIsBelieved)
{
    filter.onList(list({ 1, 2, 8 }), at(0));
    EXPECT_EQ(known(), nullptr);
    EXPECT_TRUE(filter.isReadDue(1, map_version(3), at(1)));
    EXPECT_FALSE(filter.onList(list({ 1, 2, 9 }), at(1)));
    EXPECT_TRUE(filter.isContradicted());
    EXPECT_TRUE(filter.onList(list({ 1, 2, 9 }), at(2)));
    ASSERT_NE(known(), nullptr);
    EXPECT_EQ(known()->front(), (std::vector<expert_number> { 1, 2, 9 }));
}

TEST_F(wrong_list, twoWrongAlike_soundLater_replaced)
{
    filter.onList(list({ 1, 2, 8 }), at(0));
    filter.onList(list({ 1, 2, 8 }), at(1));
    EXPECT_FALSE(filter.isReadDue(1, map_version(3), at(1000)));
    EXPECT_TRUE(filter.isReadDue(1, map_version(3), at(2500)));
    filter.onList(list({ 1, 2, 9 }), at(2500));
    EXPECT_TRUE(filter.isReadDue(1, map_version(3), at(2501)));
    EXPECT_TRUE(filter.onList(list({ 1, 2, 9 }), at(2501)));
    EXPECT_EQ(known()->front(), (std::vector<expert_number> { 1, 2, 9 }));
}

TEST_F(wrong_list, listOfAnotherMap_notBelieved)
{
    filter.onList(list({ 1 }, 6), at(0));
    filter.onList(list({ 1 }, 6), at(1));
    EXPECT_EQ(known(), nullptr);
    EXPECT_TRUE(filter.isReadDue(1, map_version(3), at(2)));
    // A switch between two readings is no contradiction.
    filter.onList(list({ 2 }, 9), at(3));
    EXPECT_FALSE(filter.isContradicted());
}

// A rank of a group with two sets of two experts.
class wrong_counters : public testing::Test {
protected:
    wrong_counters()
    {
        reporting.setGroup(group_id("g"), 1);
        reporting.onCounters({ 100000, 100000, 100000, 100000 }, 1, 2);
    }

    std::vector<std::uint8_t> take() { return reporting.takeReport(time_point(milliseconds(100)))->report.choices.values; }

    demand_reporting reporting;
};

// Guards against maps for minutes that serve one expert only, because its counter was wrong once.
TEST_F(wrong_counters, oneCounterWrong_thenSound_demandIsThatOfSoundOnes)
{
    for (const std::uint32_t wrong : { 0U, 1U << 30U }) {
        EXPECT_FALSE(reporting.onCounters({ 100010, 100030, 100020, wrong }, 1, 2));
        EXPECT_TRUE(reporting.onCounters({ 100010, 100030, 100020, 100020 }, 1, 2));
        EXPECT_EQ(take(), (std::vector<std::uint8_t> { 10, 30, 20, 20 }));
        reporting.setGroup(group_id("g"), 2);
        reporting.setGroup(group_id("g"), 1);
        reporting.onCounters({ 100000, 100000, 100000, 100000 }, 1, 2);
    }
}

TEST_F(wrong_counters, countersStartAnew_twoReadings_goOnFromThere)
{
    EXPECT_FALSE(reporting.onCounters({ 1, 1, 1, 1 }, 1, 2));
    EXPECT_FALSE(reporting.onCounters({ 2, 2, 2, 2 }, 1, 2));
    EXPECT_TRUE(reporting.onCounters({ 7, 2, 4, 5 }, 1, 2));
    EXPECT_EQ(take(), (std::vector<std::uint8_t> { 5, 0, 2, 3 }));
}

// Guards against a group without demand because its sets are not chosen alike.
TEST_F(wrong_counters, setsNeverAlike_everySecondReading_counts)
{
    EXPECT_FALSE(reporting.onCounters({ 110000, 110000, 100000, 100000 }, 1, 2));
    EXPECT_FALSE(reporting.onCounters({ 120000, 120000, 100000, 100000 }, 1, 2));
    EXPECT_GT(take().front(), 0);
}

}
