#include "bench/spread_fleet/spread_fleet.h"
#include "state/snapshot_json.h"

#include <gtest/gtest.h>

namespace sardinelb {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Time within which a change must be in force at every reachable daemon (invariant I7).
constexpr duration inForceBound = seconds(17);
const availability_zone_id partitionedZone("oviedo-c");

fleet_settings smallFleet()
{
    fleet_settings settings;
    settings.zones = { { availability_zone_id("naju-yard"), region_id("nam-gang"), 3, 8 },
        { availability_zone_id("bilbao-a"), region_id("cantabrico"), 3, 8 },
        { partitionedZone, region_id("cantabrico"), 3, 8 } };
    settings.linksPerEntry = 4;
    settings.loss = 0.01;
    return settings;
}

bool all(const virtual_daemon&) { return true; }

bool isOutsidePartition(const virtual_daemon& daemon) { return daemon.zone != partitionedZone; }

// Partitions the zone from the other zones, the table and the operator.
bool crossesPartition(const availability_zone_id& from, const availability_zone_id& to)
{
    return from == partitionedZone || to == partitionedZone;
}

// Runs until the version is in force at the selected daemons, at most for the bound; returns whether it is.
bool comesIntoForce(spread_fleet& fleet, config_version version, bool (*counts)(const virtual_daemon&))
{
    const time_point end = fleet.now() + inForceBound;
    while (fleet.now() < end && !fleet.isInForce(version, counts))
        fleet.run(milliseconds(100));
    return fleet.isInForce(version, counts);
}

void start(spread_fleet& fleet)
{
    fleet.startAll();
    fleet.run(seconds(3));
    ASSERT_TRUE(fleet.isInForce(config_version(1), all));
}

// Pushes a change, and repeats a push that ends without acceptance: at 30% loss, five rounds may miss a majority (exit
// code 9 of the command line).
void pushUntilAccepted(spread_fleet& fleet, const configuration_change& change)
{
    for (int command = 0; command < 3 && !fleet.acceptedAt(change.version); ++command) {
        fleet.push(change);
        fleet.run(seconds(3));
    }
    EXPECT_TRUE(fleet.acceptedAt(change.version).has_value());
}

// Commits and pushes a change, and takes the table down when it is accepted.
config_version acceptThenLoseTable(spread_fleet& fleet)
{
    const configuration_change change = fleet.commitChange();
    fleet.setAcceptedCallback([&fleet] { fleet.setTableDown(true); });
    pushUntilAccepted(fleet, change);
    return change.version;
}

// Compares the configuration of every daemon with the one committed at its version.
void expectReferenceStates(const spread_fleet& fleet)
{
    for (const virtual_daemon& daemon : fleet.daemons()) {
        if (!daemon.spread || !daemon.spread->isReady())
            continue;
        ASSERT_TRUE(fleet.history().contains(daemon.spread->version()));
        EXPECT_EQ(snapshotToText(daemon.spread->current()), fleet.history().at(daemon.spread->version()))
            << daemon.id.value();
    }
}

}

// Guards against a change that reaches only the entries to which it was pushed while the table is down.
TEST(config_spread_fleet, acceptedChangeReachesEveryDaemonUnderLossWithoutTheTable)
{
    for (const double loss : { 0.0, 0.01, 0.3 }) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            fleet_settings settings = smallFleet();
            settings.loss = loss;
            settings.framesCarryVersions = seed % 2 == 0;
            spread_fleet fleet(settings, seed);
            SCOPED_TRACE("loss " + std::to_string(loss) + " seed " + std::to_string(seed));
            start(fleet);
            const config_version version = acceptThenLoseTable(fleet);
            EXPECT_TRUE(comesIntoForce(fleet, version, all));
            EXPECT_EQ(fleet.versionRegressions(), 0U);
            expectReferenceStates(fleet);
        }
    }
}

// Guards against a change that does not spread because its operator's command was killed between commit and push.
TEST(config_spread_fleet, changeThatWasNeverPushedSpreadsFromTheTable)
{
    spread_fleet fleet(smallFleet(), 1);
    start(fleet);
    EXPECT_TRUE(comesIntoForce(fleet, fleet.commitChange().version, all));
}

TEST(config_spread_fleet, partitionedZoneCatchesUpAfterHealing)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        spread_fleet fleet(smallFleet(), seed);
        start(fleet);
        fleet.setPartition(crossesPartition);
        const config_version version = acceptThenLoseTable(fleet);
        EXPECT_TRUE(comesIntoForce(fleet, version, isOutsidePartition)) << seed;
        fleet.run(minutes(1));
        EXPECT_FALSE(fleet.isInForce(version, all));
        fleet.setPartition({});
        EXPECT_TRUE(comesIntoForce(fleet, version, all)) << seed;
        EXPECT_EQ(fleet.versionRegressions(), 0U);
    }
}

// Guards against an accepted change that is lost by restarts of the daemons that had it, while the table is down.
TEST(config_spread_fleet, restartsAtEveryStepNeverLoseAnAcceptedChange)
{
    constexpr int steps = 30;
    for (int step = 0; step < steps; ++step) {
        spread_fleet fleet(smallFleet(), static_cast<std::uint64_t>(step) + 1);
        start(fleet);
        fleet.run(milliseconds(step * 100));
        const configuration_change change = fleet.commitChange();
        fleet.setAcceptedCallback([&fleet] { fleet.setTableDown(true); });
        fleet.push(change);
        // Restarts one entry and one agent of each zone at this step after the push.
        fleet.run(milliseconds(step * 50));
        for (std::size_t index = 0; index < fleet.daemons().size(); index += 11) {
            fleet.restart(index);
            fleet.restart(index + 4);
        }
        fleet.run(seconds(3));
        ASSERT_TRUE(fleet.acceptedAt(change.version).has_value()) << step;
        EXPECT_TRUE(comesIntoForce(fleet, change.version, all)) << "step " << step;
        EXPECT_EQ(fleet.versionRegressions(), 0U) << "step " << step;
        expectReferenceStates(fleet);
    }
}

// Guards against a restarted entry that becomes ready with the version of the one entry that missed the change.
TEST(config_spread_fleet, restartBesideALaggingEntryKeepsTheAcceptedChange)
{
    constexpr std::size_t lagging = 2;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        spread_fleet fleet(smallFleet(), seed);
        start(fleet);
        // With frame loss, the lagging entry may be the first or only one to answer.
        fleet.setLoss(0.3);
        fleet.setIsolated(lagging, true);
        const configuration_change change = fleet.commitChange();
        fleet.setAcceptedCallback([&fleet] {
            fleet.setTableDown(true);
            fleet.setIsolated(lagging, false);
            fleet.restart(0);
        });
        pushUntilAccepted(fleet, change);
        fleet.run(seconds(10));
        EXPECT_EQ(fleet.versionRegressions(), 0U) << seed;
        // The bound is stated for 1% loss.
        fleet.setLoss(0.01);
        EXPECT_TRUE(comesIntoForce(fleet, change.version, all)) << seed;
        EXPECT_EQ(fleet.versionRegressions(), 0U) << seed;
    }
}

// Guards against a zone that restarts completely and serves an old or empty configuration.
TEST(config_spread_fleet, zoneWhoseEntriesAllRestartWaitsForTheTable)
{
    spread_fleet fleet(smallFleet(), 3);
    start(fleet);
    const config_version version = acceptThenLoseTable(fleet);
    for (std::size_t index = 0; index < fleet.daemons().size(); ++index) {
        if (fleet.daemons()[index].zone == partitionedZone)
            fleet.restart(index);
    }
    fleet.run(minutes(5));
    for (const virtual_daemon& daemon : fleet.daemons())
        EXPECT_EQ(daemon.spread->isReady(), daemon.zone != partitionedZone) << daemon.id.value();
    fleet.setTableDown(false);
    EXPECT_TRUE(comesIntoForce(fleet, version, all));
    EXPECT_EQ(fleet.versionRegressions(), 0U);
}

// Guards against a zone that stays behind after a partition of an hour, or overloads the table or its peers when it
// heals.
TEST(config_spread_fleet, zonePartitionedForAnHourHealsWithoutOverload)
{
    spread_fleet fleet(smallFleet(), 4);
    start(fleet);
    fleet.setPartition(crossesPartition);
    config_version version;
    for (int minute = 0; minute < 60; ++minute) {
        const configuration_change change = fleet.commitChange();
        version = change.version;
        fleet.push(change);
        fleet.run(minutes(1));
    }
    EXPECT_TRUE(fleet.isInForce(version, isOutsidePartition));
    const std::uint64_t readsBefore = fleet.tableReads();
    fleet.setPartition({});
    const time_point healed = fleet.now();
    EXPECT_TRUE(comesIntoForce(fleet, version, all));
    fleet.run(healed + inForceBound - fleet.now());
    // Three pollers per zone, each once per second; a poller that finds changes reads again at once.
    EXPECT_LE(fleet.tableReads() - readsBefore, 3U * 3U * 17U * 3U / 2U);
    EXPECT_LE(fleet.peakAnswers(), 20U);
    EXPECT_EQ(fleet.versionRegressions(), 0U);
    expectReferenceStates(fleet);
}

// Differential test: random changes, frame loss, partitions, outages and restarts, compared with the committed history.
TEST(config_spread_fleet, randomFaultsNeverLowerAVersionOrInventAState)
{
    constexpr int seeds = 20;
    constexpr int rounds = 60;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937_64 random(seed);
        const auto draw = [&](int below) { return std::uniform_int_distribution<int>(0, below - 1)(random); };
        spread_fleet fleet(smallFleet(), seed);
        start(fleet);
        bool isDown = false;
        for (int round = 0; round < rounds; ++round) {
            switch (draw(6)) {
            case 0:
                isDown = !isDown;
                fleet.setTableDown(isDown);
                break;
            case 1:
                fleet.setPartition(
                    draw(2) == 0 ? spread_fleet::partition_rule(crossesPartition) : spread_fleet::partition_rule());
                break;
            case 2:
                fleet.setLoss(draw(2) == 0 ? 0.3 : 0.01);
                break;
            case 3:
                fleet.restart(static_cast<std::size_t>(draw(static_cast<int>(fleet.daemons().size()))));
                break;
            default:
                if (!isDown)
                    fleet.push(fleet.commitChange());
            }
            fleet.run(milliseconds(draw(1500)));
            if (round % 10 == 0)
                expectReferenceStates(fleet);
        }
        expectReferenceStates(fleet);
        EXPECT_EQ(fleet.versionRegressions(), 0U);
        fleet.setTableDown(false);
        fleet.setPartition({});
        fleet.setLoss(0.01);
        EXPECT_TRUE(comesIntoForce(fleet, fleet.history().rbegin()->first, all));
        EXPECT_EQ(fleet.applyFailures(), 0U);
    }
}

}
