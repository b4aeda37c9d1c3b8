#pragma once

#include "serving/demand_share.h"
#include "serving/runner_directory.h"
#include "serving/runner_followers.h"
#include "tests/stand_ins/virtual_schedule.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace sardinelb {

// Entries that choose among the same model runners in virtual time, each with its own runner_directory. Runners work without
// faults; reports reach the entries that follow them late by a set time.
class entry_fleet_simulation {
public:
    struct settings {
        std::size_t entries = 14;
        std::size_t runners = 72;
        std::size_t ranksPerGroup = 72;
        std::uint32_t slots = 10;
        // Mean age of the reports at the time of a choice.
        std::chrono::milliseconds reportAge { 300 };
        // Demand relative to all slots of all runners.
        double load = 0.8;
        std::chrono::milliseconds serviceTime { 1600 };
        // Service times differ from their mean by up to this part of it. All streams of a group advance in lock-step.
        double serviceVariation = 0.2;
        // Demand of an entry relative to the previous one's. Below 1 the first entries get most requests.
        double demandRatio = 1;
        std::uint64_t seed = 1;
    };

    // Means over the time after a warm-up.
    struct figures {
        // Standard deviation of running requests over the runners.
        double spread = 0;
        // Part of the time in which one runner is at its limit while another is below half of it.
        double unevenTime = 0;
        double reportAgeMs = 0;
        // Requests that all entries send to a runner between two of its reports, at most.
        double mostSentOnReport = 0;
        // Part of the requests that wait at an entry or a runner, and the mean time that a request waits.
        double waited = 0;
        double waitMs = 0;
    };

    explicit entry_fleet_simulation(const settings& chosen)
        : m_settings(chosen)
        , m_random(static_cast<std::mt19937::result_type>(chosen.seed))
        , m_runners(chosen.runners)
    {
        addEntries();
        for (std::size_t i = 0; i < m_runners.size(); ++i)
            m_schedule.at(randomTime(reportInterval()), [this, i] { report(i); });
        arrive();
        for (std::size_t e = 0; e < m_entries.size(); ++e)
            m_schedule.at(randomTime(demandInterval), [this, e] { tellDemand(e); });
        m_schedule.at(time_point(warmUp), [this] { sample(); });
    }

    figures run(duration measured)
    {
        while (m_schedule.now() < time_point(warmUp + measured) && m_schedule.runNext()) { }
        figures result;
        result.spread = m_spreadSum / static_cast<double>(m_samples);
        result.unevenTime = static_cast<double>(m_unevenSamples) / static_cast<double>(m_samples);
        result.reportAgeMs = m_ageSumMs / static_cast<double>(m_chosen);
        result.mostSentOnReport = m_mostSentOnReport;
        result.waited = static_cast<double>(m_waited) / static_cast<double>(m_chosen);
        result.waitMs = m_waitSumMs / static_cast<double>(m_chosen);
        return result;
    }

private:
    static constexpr std::chrono::seconds warmUp { 6 };
    static constexpr std::chrono::milliseconds sampleInterval { 100 };
    static constexpr std::chrono::milliseconds transitTime { 10 };
    static constexpr std::chrono::milliseconds demandInterval { 500 };

    struct runner {
        std::uint32_t running = 0;
        std::deque<std::pair<std::size_t, time_point>> waiting;
        double sentOnReport = 0;
    };

    struct entry {
        std::string address;
        std::unique_ptr<runner_directory> directory;
        demand_share demand;
        std::deque<time_point> waiting;
    };

    // A report is between its transit time and one interval more old.
    duration reportInterval() const { return 2 * (m_settings.reportAge - transitTime); }

    time_point randomTime(duration until) { return time_point(duration(static_cast<std::int64_t>(uniform() * static_cast<double>(until.count())))); }

    double uniform() { return std::uniform_real_distribution(0.0, 1.0)(m_random); }

    static std::size_t indexOf(const runner_id& id) { return std::stoul(id.value()); }
    static std::string addressOf(std::size_t i) { return "10.1.0." + std::to_string(i) + ":80"; }

    void addEntries()
    {
        std::vector<std::string> addresses;
        for (std::size_t e = 0; e < m_settings.entries; ++e)
            addresses.push_back("10.0.0." + std::to_string(e));
        std::vector<listed_runner> listings;
        std::vector<std::string> runnerAddresses;
        for (std::size_t i = 0; i < m_runners.size(); ++i) {
            listings.push_back({ runner_id(std::to_string(i)), m_pool, addressOf(i), availability_zone_id("z"), m_settings.slots });
            runnerAddresses.push_back(addressOf(i));
        }
        engine_profile engine;
        engine.slots = m_settings.slots;
        m_followers.resize(m_runners.size());
        for (std::size_t e = 0; e < m_settings.entries; ++e) {
            m_weights.push_back(std::pow(m_settings.demandRatio, static_cast<double>(e)));
            entry one;
            one.address = addresses[e];
            one.directory = std::make_unique<runner_directory>([this] { return uniform(); });
            one.directory->setEngine(m_pool, engine);
            const auto followed = followedRunners(runnerAddresses, addresses[e], addresses);
            one.directory->setFollowed(followed);
            one.directory->setRunners(listings, time_point());
            one.directory->setEntryCount(addresses.size());
            one.directory->setEntries(addresses[e], addresses);
            for (std::size_t i = 0; i < m_runners.size(); ++i) {
                if (followed.contains(runnerAddresses[i]))
                    m_followers[i].push_back(e);
            }
            m_entries.push_back(std::move(one));
        }
    }

    void arrive()
    {
        const double serviceSeconds = std::chrono::duration<double>(m_settings.serviceTime).count();
        const double perSecond = m_settings.load * static_cast<double>(m_runners.size()) * m_settings.slots / serviceSeconds;
        const double seconds = std::exponential_distribution(perSecond)(m_random);
        m_schedule.after(duration(static_cast<std::int64_t>(seconds * 1e6)), [this] {
            const std::size_t e = std::discrete_distribution<std::size_t>(m_weights.begin(), m_weights.end())(m_random);
            m_entries[e].demand.onArrival();
            m_entries[e].waiting.push_back(m_schedule.now());
            dispatch(e);
            arrive();
        });
    }

    void dispatch(std::size_t e)
    {
        entry& one = m_entries[e];
        while (!one.waiting.empty()) {
            const auto chosen = one.directory->choose(m_pool, {}, m_schedule.now());
            if (!chosen)
                return;
            const runner_record& record = *one.directory->find(*chosen);
            if (record.load)
                m_ageSumMs += std::chrono::duration<double, std::milli>(m_schedule.now() - record.load->at + transitTime).count();
            one.directory->onAttemptStarted(*chosen, m_schedule.now());
            send(e, indexOf(*chosen), one.waiting.front());
            one.waiting.pop_front();
        }
    }

    void send(std::size_t e, std::size_t i, time_point arrivedAt)
    {
        runner& target = m_runners[i];
        ++m_chosen;
        ++target.sentOnReport;
        if (m_schedule.now() >= time_point(warmUp))
            m_mostSentOnReport = std::max(m_mostSentOnReport, target.sentOnReport);
        if (target.running >= m_settings.slots) {
            target.waiting.emplace_back(e, arrivedAt);
            return;
        }
        start(e, i, arrivedAt);
    }

    void start(std::size_t e, std::size_t i, time_point arrivedAt)
    {
        const double waitMs = std::chrono::duration<double, std::milli>(m_schedule.now() - arrivedAt).count();
        m_waitSumMs += waitMs;
        m_waited += waitMs > 0 ? 1 : 0;
        ++m_runners[i].running;
        const double factor = 1 + m_settings.serviceVariation * (2 * uniform() - 1);
        const duration time(static_cast<std::int64_t>(factor * static_cast<double>(duration(m_settings.serviceTime).count())));
        m_schedule.after(time, [this, e, i, time] {
            --m_runners[i].running;
            if (!m_runners[i].waiting.empty()) {
                const auto [next, at] = m_runners[i].waiting.front();
                m_runners[i].waiting.pop_front();
                start(next, i, at);
            }
            m_entries[e].directory->onAttemptSucceeded(runner_id(std::to_string(i)), time);
            dispatch(e);
        });
    }

    void report(std::size_t i)
    {
        rank_load load;
        load.runner = runner_id(std::to_string(i));
        load.group = group_id(std::to_string(i / m_settings.ranksPerGroup));
        load.rank = rank_id(static_cast<std::uint32_t>(i % m_settings.ranksPerGroup));
        load.running = m_runners[i].running;
        load.waiting = static_cast<std::uint32_t>(m_runners[i].waiting.size());
        m_runners[i].sentOnReport = 0;
        m_schedule.after(transitTime, [this, i, load] {
            for (const std::size_t e : m_followers[i]) {
                m_entries[e].directory->onLoadReport(load, m_schedule.now());
                dispatch(e);
            }
        });
        m_schedule.after(reportInterval(), [this, i] { report(i); });
    }

    void tellDemand(std::size_t e)
    {
        entry& one = m_entries[e];
        const double arrivals = one.demand.update(m_schedule.now());
        one.directory->setDemandShare(one.demand.share());
        one.directory->setDemandShares(one.demand.shares(one.address));
        m_schedule.after(transitTime, [this, e, arrivals] {
            for (entry& other : m_entries) {
                if (&other != &m_entries[e])
                    other.demand.onPeer(m_entries[e].address, arrivals);
            }
        });
        m_schedule.after(demandInterval, [this, e] { tellDemand(e); });
    }

    void sample()
    {
        double sum = 0;
        double squares = 0;
        bool isAnyAtLimit = false;
        bool isAnyBelowHalf = false;
        for (const runner& one : m_runners) {
            const double running = one.running;
            sum += running;
            squares += running * running;
            isAnyAtLimit = isAnyAtLimit || one.running >= m_settings.slots;
            isAnyBelowHalf = isAnyBelowHalf || running < m_settings.slots / 2.0;
        }
        const double count = static_cast<double>(m_runners.size());
        m_spreadSum += std::sqrt(std::max(0.0, squares / count - sum / count * sum / count));
        m_unevenSamples += isAnyAtLimit && isAnyBelowHalf ? 1 : 0;
        ++m_samples;
        m_schedule.after(sampleInterval, [this] { sample(); });
    }

    settings m_settings;
    std::mt19937 m_random;
    virtual_schedule m_schedule;
    pool_id m_pool { "p" };
    std::vector<runner> m_runners;
    std::vector<entry> m_entries;
    std::vector<std::vector<std::size_t>> m_followers;
    std::vector<double> m_weights;
    std::uint64_t m_samples = 0;
    std::uint64_t m_unevenSamples = 0;
    std::uint64_t m_chosen = 0;
    std::uint64_t m_waited = 0;
    double m_spreadSum = 0;
    double m_ageSumMs = 0;
    double m_waitSumMs = 0;
    double m_mostSentOnReport = 0;
};

}
