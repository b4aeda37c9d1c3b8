#include "serving/runner_directory.h"
#include "serving/runner_followers.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

namespace sardinelb::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const pool_id groupPool("p");

constexpr warm_up_limit limitOfRanks { seconds(3), 32, 53 };

constexpr std::uint32_t slotsPerRank = 10;

// Ranks and entries of a fleet.
struct fleet_size {
    std::size_t ranks = 0;
    std::size_t entries = 0;
};

}

// All ranks and entries of a fleet start at the same moment, and callers wait. The ranks form one group, which opens later than its
// agents report; a request to a rank of a closed group is rejected at once.
class returning_fleet : public testing::TestWithParam<fleet_size> {
protected:
    static constexpr duration step = milliseconds(10);
    static constexpr duration reportInterval = milliseconds(100);
    static constexpr duration timeUntilOpen = milliseconds(2500);
    static constexpr duration serviceTime = milliseconds(900);

    struct counts {
        std::size_t rejected = 0;
        // Requests that each rank got within a second of the group's opening.
        std::vector<std::size_t> byRank;
        // The most that a rank got within any second.
        std::size_t largest = 0;
    };

    static std::string rankAddress(std::size_t rank)
    {
        return "10.1." + std::to_string(rank / 250) + "." + std::to_string(rank % 250) + ":80";
    }

    void start()
    {
        const auto [ranks, entries] = GetParam();
        std::vector<listed_runner> listed;
        std::vector<std::string> rankAddresses;
        for (std::size_t rank = 0; rank < ranks; ++rank) {
            listed_runner runner;
            runner.id = runner_id(std::to_string(rank));
            runner.pool = groupPool;
            runner.address = rankAddress(rank);
            runner.slots = slotsPerRank;
            runner.startedAtMs = 1;
            listed.push_back(runner);
            rankAddresses.push_back(runner.address);
        }
        std::vector<std::string> entryAddresses;
        for (std::size_t i = 0; i < entries; ++i)
            entryAddresses.push_back("10.0.0." + std::to_string(i));
        engine_profile engine;
        engine.slots = slotsPerRank;
        for (const std::string& address : entryAddresses) {
            auto& directory = *m_entries.emplace_back(std::make_unique<runner_directory>([this] { return std::uniform_real_distribution<double>()(m_random); }));
            directory.setProcessStart(m_now);
            directory.setEngine(groupPool, engine);
            directory.setWarmUp(groupPool, limitOfRanks, m_now);
            directory.setRunners(listed, m_now);
            directory.setEntryCount(entries);
            directory.setDemandShare(1.0 / static_cast<double>(entries));
            directory.setEntries(address, entryAddresses);
            directory.setWarmUpEntries(entryAddresses, false);
            m_followed.push_back(followedRunners(rankAddresses, address, entryAddresses));
            directory.setFollowed(m_followed.back());
        }
        m_running.resize(ranks);
    }

    void report(bool isOpen)
    {
        for (std::size_t rank = 0; rank < m_running.size(); ++rank) {
            rank_load load;
            load.runner = runner_id(std::to_string(rank));
            load.group = group_id("g");
            load.rank = rank_id(static_cast<std::uint32_t>(rank));
            load.running = m_running[rank];
            load.startedAtMs = 1;
            load.isGroupOpen = isOpen;
            for (std::size_t i = 0; i < m_entries.size(); ++i) {
                if (m_followed[i].contains(rankAddress(rank)))
                    m_entries[i]->onLoadReport(load, m_now);
            }
        }
    }

    // Every entry always has callers that wait.
    counts play()
    {
        start();
        counts result;
        result.byRank.resize(m_running.size());
        const time_point opensAt = m_now + timeUntilOpen;
        time_point reportAt = m_now + reportInterval;
        std::vector<std::deque<time_point>> lastSecond(m_running.size());
        for (const time_point end = opensAt + seconds(1); m_now < end; m_now += step) {
            const bool isOpen = m_now >= opensAt;
            if (m_now >= reportAt) {
                report(isOpen);
                reportAt = m_now + reportInterval;
            }
            complete();
            for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
                const auto chosen = m_entries[entry]->choose(groupPool, {}, m_now);
                if (!chosen)
                    continue;
                const std::size_t rank = std::stoul(chosen->value());
                m_entries[entry]->onAttemptStarted(*chosen, m_now);
                lastSecond[rank].push_back(m_now);
                while (m_now - lastSecond[rank].front() >= seconds(1))
                    lastSecond[rank].pop_front();
                result.largest = std::max(result.largest, lastSecond[rank].size());
                if (!isOpen) {
                    m_entries[entry]->onAttemptFailed(*chosen, attempt_failure::Rejected, m_now);
                    ++result.rejected;
                    continue;
                }
                ++result.byRank[rank];
                ++m_running[rank];
                m_completions.emplace(m_now + serviceTime, std::pair(entry, rank));
            }
        }
        return result;
    }

    void complete()
    {
        while (!m_completions.empty() && m_completions.begin()->first <= m_now) {
            const auto [entry, rank] = m_completions.begin()->second;
            m_completions.erase(m_completions.begin());
            --m_running[rank];
            m_entries[entry]->onAttemptSucceeded(runner_id(std::to_string(rank)), serviceTime);
        }
    }

    time_point m_now { seconds(100) };
    std::mt19937_64 m_random { 3 };
    std::vector<std::unique_ptr<runner_directory>> m_entries;
    std::vector<std::unordered_set<std::string>> m_followed;
    std::vector<std::uint32_t> m_running;
    std::multimap<time_point, std::pair<std::size_t, std::size_t>> m_completions;
};

// Guards against requests to a group that isn't open, which its ranks reject, against all entries turning to the first ranks that report,
// and against more requests than a cold rank bears.
TEST_P(returning_fleet, groupOpensWhileCallersWait_nothingBeforeAndSpreadOverAllRanks)
{
    const counts result = play();
    EXPECT_EQ(result.rejected, 0U);
    EXPECT_LE(static_cast<double>(result.largest), limitOfRanks.maxPerSecond);
    std::size_t total = 0;
    for (const std::size_t requests : result.byRank)
        total += requests;
    const double mean = static_cast<double>(total) / static_cast<double>(result.byRank.size());
    EXPECT_GT(mean, 1) << "the group must be used";
    EXPECT_LE(static_cast<double>(*std::max_element(result.byRank.begin(), result.byRank.end())), 2 * mean + slotsPerRank);
    const auto unused = std::count(result.byRank.begin(), result.byRank.end(), 0U);
    EXPECT_LE(static_cast<double>(unused), 0.05 * static_cast<double>(result.byRank.size()));
}

INSTANTIATE_TEST_SUITE_P(sizes, returning_fleet,
    testing::Values(fleet_size { 16, 4 }, fleet_size { 16, 14 }, fleet_size { 16, 53 }, fleet_size { 72, 4 }, fleet_size { 72, 14 }, fleet_size { 72, 53 },
        fleet_size { 192, 4 }, fleet_size { 192, 14 }, fleet_size { 192, 53 }));

}
