// Measures the time from the acceptance of a configuration change until it is in force at every daemon that can be
// reached, with the real state machines in virtual time. Prints one JSON object per line.

#include "bench/spread_fleet/spread_fleet.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <iostream>

namespace {

using namespace sardinelb;
using std::chrono::seconds;

constexpr std::array<std::uint64_t, 3> seeds { 1, 2, 3 };
constexpr double frameLoss = 0.01;
constexpr duration warmUp = seconds(10);
constexpr duration steadySpan = seconds(10);
// Time between the partition of the zone and the change.
constexpr duration partitionLeadTime = seconds(2);
constexpr duration checkInterval = std::chrono::milliseconds(100);
// The table stays down for this time after acceptance; the partition heals a little later.
constexpr duration tableOutage = seconds(60);
constexpr duration healDelay = seconds(75);
// Time after which the change, or the change in the partitioned zone, counts as not in force.
constexpr duration spreadTimeout = seconds(120);
constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();
constexpr duration disabled = std::chrono::hours(24 * 365);

// A fleet to measure, and its name in case names.
struct fleet_shape {
    std::string name;
    std::vector<fleet_zone> zones;
    std::string partitionedZone;
};

// A policy to spread changes.
struct spread_policy {
    std::string name;
    std::function<void(fleet_settings&)> configure;
    // Whether an operator pushes the change, and whether it is pushed to all entries, so that it can be accepted.
    bool isPushed = true;
    bool canBeAccepted = true;
};

// Results of one run.
struct spread_figures {
    double inForceSeconds = 0;
    double healSeconds = 0;
    double versionRegressions = 0;
    double tableReads = 0;
    // Traffic of the daemon with the most traffic.
    double bytesPerSecond = 0;
};

fleet_zone zoneOf(const char* name, const char* region, std::size_t entries, std::size_t agents)
{
    return { availability_zone_id(name), region_id(region), entries, agents };
}

// 350 entries and 600 agents in two regions.
fleet_shape fleetInTwoYears()
{
    return { "two-years-950",
        { zoneOf("naju-yard", "nam-gang", 59, 100), zoneOf("gwangju-hq", "nam-gang", 59, 100),
            zoneOf("mokpo-shed", "nam-gang", 58, 100), zoneOf("bilbao-a", "cantabrico", 58, 100),
            zoneOf("santander-b", "cantabrico", 58, 100), zoneOf("oviedo-c", "cantabrico", 58, 100) },
        "oviedo-c" };
}

// 19 runners and two entries per zone in one region.
fleet_shape fleetToday()
{
    return { "today-25",
        { zoneOf("naju-yard", "nam-gang", 2, 7), zoneOf("gwangju-hq", "nam-gang", 2, 6),
            zoneOf("mokpo-shed", "nam-gang", 2, 6) },
        "mokpo-shed" };
}

spread_policy productionPolicy()
{
    return { "ours", [](fleet_settings&) {} };
}

// Every daemon polls the table every 10 s, without any other exchange.
spread_policy pollEvery10Seconds()
{
    const auto configure = [](fleet_settings& settings) {
        settings.spread.pollersPerZone = unlimited;
        settings.spread.pollInterval = seconds(10);
        settings.spread.exchangeInterval = disabled;
        settings.framesCarryVersions = false;
    };
    return { "poll-10s", configure, false, false };
}

// The change is pushed to one entry and spreads by exchanges with one random peer per second.
spread_policy gossipOnly()
{
    const auto configure = [](fleet_settings& settings) {
        settings.spread.pollersPerZone = 0;
        settings.framesCarryVersions = false;
        settings.pushToAllEntries = false;
    };
    return { "gossip-only", configure, true, false };
}

// Like the production policy, but frames between entries and agents do not carry versions.
spread_policy noFrameVersions()
{
    return { "no-frame-versions", [](fleet_settings& settings) { settings.framesCarryVersions = false; } };
}

// One run of one policy on one fleet.
class spread_run {
public:
    spread_run(const fleet_shape& shape, const spread_policy& policy, std::uint64_t seed)
        : m_partitionedZone(shape.partitionedZone)
        , m_policy(policy)
        , m_fleet(settingsFor(shape, policy), seed)
    {
    }

    spread_figures measure()
    {
        spread_figures figures;
        m_fleet.startAll();
        m_fleet.run(warmUp);
        const std::uint64_t readsBefore = m_fleet.tableReads();
        m_fleet.run(steadySpan);
        figures.tableReads = static_cast<double>(m_fleet.tableReads() - readsBefore) / secondsOf(steadySpan);
        partitionZone();
        const std::vector<std::uint64_t> bytesBefore = bytesOfAll();
        const time_point begin = m_fleet.now();
        m_fleet.run(partitionLeadTime);
        const config_version version = makeChange();
        figures.inForceSeconds = spreadToReachable(version);
        figures.healSeconds = spreadToAll(version);
        const double span = secondsOf(m_fleet.now() - begin);
        figures.bytesPerSecond = static_cast<double>(mostBytesSince(bytesBefore)) / span;
        figures.versionRegressions = static_cast<double>(m_fleet.versionRegressions());
        return figures;
    }

private:
    static fleet_settings settingsFor(const fleet_shape& shape, const spread_policy& policy)
    {
        fleet_settings settings;
        settings.zones = shape.zones;
        settings.loss = frameLoss;
        policy.configure(settings);
        return settings;
    }

    static double secondsOf(duration span) { return std::chrono::duration<double>(span).count(); }

    std::vector<std::uint64_t> bytesOfAll() const
    {
        std::vector<std::uint64_t> all;
        all.reserve(m_fleet.daemons().size());
        for (const virtual_daemon& daemon : m_fleet.daemons())
            all.push_back(daemon.bytes);
        return all;
    }

    // Bytes since the given counts, of the daemon with the most traffic.
    std::uint64_t mostBytesSince(const std::vector<std::uint64_t>& before) const
    {
        const std::vector<std::uint64_t> all = bytesOfAll();
        std::uint64_t most = 0;
        for (std::size_t index = 0; index < all.size(); ++index)
            most = std::max(most, all[index] - before[index]);
        return most;
    }

    void partitionZone()
    {
        m_fleet.setPartition([zone = m_partitionedZone](const availability_zone_id& from, const availability_zone_id& to) {
            return from == zone || to == zone;
        });
    }

    // Commits and pushes a change, and takes the table down at the moment of its acceptance.
    config_version makeChange()
    {
        const configuration_change change = m_fleet.commitChange();
        m_acceptedAt = m_fleet.now();
        m_fleet.setAcceptedCallback([this] {
            m_acceptedAt = m_fleet.now();
            m_fleet.setTableDown(true);
        });
        if (m_policy.isPushed)
            m_fleet.push(change);
        // A policy that does not push to all entries has no acceptance; the commit counts instead.
        if (!m_policy.canBeAccepted)
            m_fleet.setTableDown(true);
        return change.version;
    }

    // Runs until the condition holds, at most to the given time after acceptance; returns the seconds since acceptance.
    double runUntil(duration afterAcceptance, const std::function<bool()>& condition)
    {
        while (m_fleet.now() < m_acceptedAt + afterAcceptance) {
            m_fleet.run(checkInterval);
            if (condition())
                return secondsOf(m_fleet.now() - m_acceptedAt);
        }
        return secondsOf(afterAcceptance);
    }

    double spreadToReachable(config_version version)
    {
        const auto isReachable = [this](const virtual_daemon& daemon) { return daemon.zone != m_partitionedZone; };
        const auto isDone = [&] { return m_fleet.isInForce(version, isReachable); };
        const double early = runUntil(tableOutage, isDone);
        if (early < secondsOf(tableOutage))
            return early;
        m_fleet.setTableDown(false);
        return runUntil(spreadTimeout, isDone);
    }

    // Heals the partition and returns the seconds until all daemons have the change.
    double spreadToAll(config_version version)
    {
        const auto all = [](const virtual_daemon&) { return true; };
        runUntil(tableOutage, [] { return false; });
        m_fleet.setTableDown(false);
        runUntil(healDelay, [] { return false; });
        m_fleet.setPartition({});
        const double healedAt = secondsOf(m_fleet.now() - m_acceptedAt);
        return runUntil(m_fleet.now() - m_acceptedAt + spreadTimeout, [&] { return m_fleet.isInForce(version, all); })
            - healedAt;
    }

    availability_zone_id m_partitionedZone;
    spread_policy m_policy;
    spread_fleet m_fleet;
    time_point m_acceptedAt;
};

// Three decimals are finer than the steps of a run.
double rounded(double value) { return std::round(value * 1000) / 1000; }

void printLine(const std::string& name, std::uint64_t seed, double own, double baseline, const char* unit)
{
    const nlohmann::ordered_json ratio = baseline == 0 ? nlohmann::ordered_json() : nlohmann::ordered_json(rounded(own / baseline));
    const nlohmann::ordered_json line { { "bench", "spread" }, { "case", name }, { "seed", seed }, { "ours", rounded(own) },
        { "baseline", rounded(baseline) }, { "ratio", ratio }, { "unit", unit } };
    std::cout << line.dump() << std::endl;
}

void printFigures(const std::string& size, std::uint64_t seed, const spread_figures& own, const spread_figures& other)
{
    printLine("in-force-s/" + size, seed, own.inForceSeconds, other.inForceSeconds, "s");
    printLine("in-force-s/" + size + "/zone-after-heal", seed, own.healSeconds, other.healSeconds, "s");
    printLine("version-falls/" + size, seed, own.versionRegressions, other.versionRegressions, "falls");
    printLine("table-reads/" + size, seed, own.tableReads, other.tableReads, "reads/s");
    printLine("bytes-per-daemon/" + size, seed, own.bytesPerSecond, other.bytesPerSecond, "B/s");
}

}

int main()
{
    for (const fleet_shape& shape : { fleetInTwoYears(), fleetToday() }) {
        for (const std::uint64_t seed : seeds) {
            const spread_figures own = spread_run(shape, productionPolicy(), seed).measure();
            for (const spread_policy& baseline : { pollEvery10Seconds(), gossipOnly(), noFrameVersions() }) {
                const spread_figures other = spread_run(shape, baseline, seed).measure();
                printFigures(shape.name + "/" + baseline.name, seed, own, other);
            }
        }
    }
    return 0;
}
