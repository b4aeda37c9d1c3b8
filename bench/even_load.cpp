// Measures how evenly entries load the runners when they choose from reports that are some time old, with the real decision
// modules in virtual time. Prints one JSON object per line.

#include "bench/entry_fleet_simulation.h"

#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <iostream>

namespace {

using namespace sardinelb;
using std::chrono::milliseconds;

constexpr std::array<std::uint64_t, 3> seeds { 1, 2, 3 };
constexpr std::chrono::seconds measuredTime(10);

void print(const entry_fleet_simulation::settings& settings)
{
    const entry_fleet_simulation::figures figures = entry_fleet_simulation(settings).run(measuredTime);
    nlohmann::ordered_json line;
    line["entries"] = settings.entries;
    line["runners"] = settings.runners;
    line["age_ms"] = settings.reportAge.count();
    line["load"] = settings.load;
    line["demand_ratio"] = settings.demandRatio;
    line["service_variation"] = settings.serviceVariation;
    line["seed"] = settings.seed;
    line["spread"] = figures.spread;
    line["uneven_time"] = figures.unevenTime;
    line["age_at_choice_ms"] = figures.reportAgeMs;
    line["most_sent_on_report"] = figures.mostSentOnReport;
    line["waited"] = figures.waited;
    line["wait_ms"] = figures.waitMs;
    std::cout << line.dump() << std::endl;
}

struct fleet_shape {
    std::size_t entries;
    std::size_t runners;
    std::size_t ranksPerGroup;
};

}

int main(int count, char** arguments)
{
    // The wanted case only, unless all are asked for.
    const bool isFull = count > 1 && std::string(arguments[1]) == "--all";
    constexpr std::array<fleet_shape, 4> shapes { { { 4, 16, 16 }, { 14, 72, 72 }, { 53, 192, 96 }, { 350, 600, 60 } } };
    for (const fleet_shape& shape : shapes) {
        for (const milliseconds age : { milliseconds(100), milliseconds(300), milliseconds(700), milliseconds(1500) }) {
            const bool isWanted = shape.entries == 14 && age == milliseconds(300);
            for (const std::uint64_t seed : seeds) {
                if (!isFull && !isWanted)
                    continue;
                entry_fleet_simulation::settings settings;
                settings.entries = shape.entries;
                settings.runners = shape.runners;
                settings.ranksPerGroup = shape.ranksPerGroup;
                settings.reportAge = age;
                settings.seed = seed;
                print(settings);
                if (!isWanted)
                    continue;
                settings.demandRatio = 0.7;
                print(settings);
                settings.demandRatio = 1;
                settings.serviceVariation = 0.5;
                print(settings);
            }
        }
    }
    return 0;
}
