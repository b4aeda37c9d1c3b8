#include "cli/exit_code.h"
#include "cli/run.h"
#include "state/change_log.h"
#include "state/memory_table.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <mutex>
#include <sstream>

namespace sardinelb {

namespace {

const char* const settingsText = R"({"table":"127.0.0.1:1","entries":{
    "naju-yard":["127.0.0.1:11","127.0.0.1:12","127.0.0.1:13"],
    "mokpo-shed":["127.0.0.1:21"]},
    "operator_key":"k","author":"kim"})";

const char* const fleetText = R"({"naming_schemes":["grid"],
    "pools":[{"id":"p","kind":"model","wanted_runners":2}],
    "instances":[{"id":"box","zone":"z","aliases":{"grid":"g-1"}},{"id":"r1","zone":"z"}],
    "teams":[{"id":"crew","aliases":{"grid":"g-7"},"contract":{"tokens_per_second":100,"requests_per_second":2,
        "service_class":"standard","answer_within_ms":1000}}],
    "runners":[{"id":"r1","pool":"p","instance":"box","zone":"z","agent_address":"127.0.0.1:31"},
               {"id":"r2","pool":"p","instance":"box","zone":"z","agent_address":"127.0.0.1:32"}]})";

// What a run of the program printed and returned.
struct run_result {
    int code = 0;
    std::string out;
    std::string errors;
};

// An entry of the fleet, as the push hook sees it.
struct fake_entry {
    bool isReachable = true;
    // Pushes that it answers with "not yet" because it lacks earlier changes.
    int pushesUntilCaughtUp = 0;
    std::uint64_t held = 0;
};

// The program with a table in memory and entries that answer as a test wants.
class cli : public testing::Test {
protected:
    cli()
    {
        write("settings.json", settingsText);
        write("fleet.json", fleetText);
        for (const char* address : { "127.0.0.1:11", "127.0.0.1:12", "127.0.0.1:13", "127.0.0.1:21" })
            entries[address];
    }

    static std::string path(const std::string& name) { return testing::TempDir() + "cli_test_" + name; }

    static void write(const std::string& name, const std::string& text) { std::ofstream(path(name)) << text; }

    cli_services connect()
    {
        cli_services services;
        services.table = table.hooks(choose);
        services.push = [this](const std::string& address, const configuration_change& change) {
            return push(address, change);
        };
        services.readStatus = [this](const std::string& address) { return read(address, statusText); };
        services.explain = [this](const std::string& address, const std::string&) { return read(address, logLine); };
        services.pause = [this](duration) { ++pauses; };
        services.makeToken = [this] { return "token-" + std::to_string(++tokens); };
        return services;
    }

    state_result<bool> push(const std::string& address, const configuration_change& change)
    {
        const std::lock_guard lock(mutex);
        fake_entry& entry = entries.at(address);
        if (!entry.isReachable)
            return state_error { state_errc::Unavailable, address, "no answer" };
        if (entry.pushesUntilCaughtUp > 0) {
            --entry.pushesUntilCaughtUp;
            return false;
        }
        entry.held = std::max(entry.held, change.version.value());
        return true;
    }

    state_result<std::vector<std::string>> read(const std::string& address, const std::string& text)
    {
        const std::lock_guard lock(mutex);
        if (!entries.at(address).isReachable)
            return state_error { state_errc::Unavailable, address, "no answer" };
        return text.empty() ? std::vector<std::string>() : std::vector<std::string> { text };
    }

    run_result runWith(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin(), { "sardinelb", "--config", path("settings.json") });
        std::vector<char*> argv;
        argv.reserve(arguments.size() + 1);
        for (std::string& argument : arguments)
            argv.push_back(argument.data());
        argv.push_back(nullptr);
        std::ostringstream out;
        std::ostringstream errors;
        const auto openLog = [](const std::string&) { return [](const std::string&) {}; };
        const int code = run(static_cast<int>(argv.size()) - 1, argv.data(),
            { out, errors, [this](const cli_settings&) { return connect(); }, openLog });
        return { code, out.str(), errors.str() };
    }

    void applyFleet() { ASSERT_EQ(runWith({ "apply", path("fleet.json") }).code, 0); }

    configuration inTable()
    {
        change_log log(table.hooks());
        const auto loaded = log.load();
        EXPECT_TRUE(loaded);
        return loaded.value();
    }

    static int number(exit_code code) { return static_cast<int>(code); }

    memory_table table;
    memory_table::fault_injector choose;
    std::map<std::string, fake_entry> entries;
    std::string statusText;
    std::string logLine;
    std::mutex mutex;
    int pauses = 0;
    int tokens = 0;
};

}

// Guards against a second change for a file that is already in force, and against a repeat that pushes nothing.
TEST_F(cli, applyCommitsTheDifferenceOnceAndPushesAgain)
{
    const run_result first = runWith({ "apply", path("fleet.json") });
    EXPECT_EQ(first.code, 0) << first.errors;
    EXPECT_NE(first.out.find("change 1 is accepted"), std::string::npos) << first.out;
    entries["127.0.0.1:12"].held = 0;
    const run_result second = runWith({ "--json", "apply", path("fleet.json") });
    EXPECT_EQ(second.code, 0);
    EXPECT_EQ(nlohmann::json::parse(second.out)["version"], 1);
    EXPECT_EQ(entries["127.0.0.1:12"].held, 1U);
    EXPECT_EQ(inTable().version, config_version(1));
}

// Guards against an accepted report that a start of a daemon could contradict.
TEST_F(cli, minorityOfAZoneIsNotAccepted)
{
    entries["127.0.0.1:11"].isReachable = false;
    entries["127.0.0.1:12"].isReachable = false;
    const run_result result = runWith({ "apply", path("fleet.json") });
    EXPECT_EQ(result.code, number(exit_code::NotAccepted));
    EXPECT_NE(result.out.find("change 1 is committed but not accepted"), std::string::npos) << result.out;
}

TEST_F(cli, majorityOfEveryZoneIsAccepted)
{
    entries["127.0.0.1:11"].isReachable = false;
    const run_result result = runWith({ "--json", "apply", path("fleet.json") });
    EXPECT_EQ(result.code, 0);
    const auto zones = nlohmann::json::parse(result.out)["zones"];
    EXPECT_EQ(zones[1]["zone"], "naju-yard");
    EXPECT_EQ(zones[1]["holding"], 2);
}

TEST_F(cli, unreachableZoneIsNamedAndHasItsOwnCode)
{
    entries["127.0.0.1:21"].isReachable = false;
    const run_result result = runWith({ "apply", path("fleet.json") });
    EXPECT_EQ(result.code, number(exit_code::ZoneUnreachable));
    EXPECT_NE(result.out.find("mokpo-shed  1        0        unreachable"), std::string::npos) << result.out;
}

TEST_F(cli, noReachableEntryIsNotAccepted)
{
    for (auto& [address, entry] : entries)
        entry.isReachable = false;
    EXPECT_EQ(runWith({ "apply", path("fleet.json") }).code, number(exit_code::NotAccepted));
}

// Guards against giving up on an entry that first has to fetch earlier changes.
TEST_F(cli, entryThatCatchesUpIsAskedAgain)
{
    entries["127.0.0.1:21"].pushesUntilCaughtUp = 2;
    EXPECT_EQ(runWith({ "apply", path("fleet.json") }).code, 0);
    EXPECT_EQ(pauses, 2);
}

// Guards against one message and code for failures that ask for different actions.
TEST_F(cli, conflictOutageAndUnknownOutcomeAreToldApart)
{
    applyFleet();
    int calls = 0;
    choose = [&](table_operation operation) {
        // The first two calls load the configuration; the rival commits before the change is written.
        if (++calls == 4) {
            choose = {};
            runWith({ "contract", "set", "crew", "tokens_per_second=300" });
        }
        static_cast<void>(operation);
        return table_fault::None;
    };
    const run_result conflict = runWith({ "contract", "set", "g-7", "tokens_per_second=200" });
    EXPECT_EQ(conflict.code, number(exit_code::Conflict));
    EXPECT_NE(conflict.errors.find("team \"crew\": changed by change 2 of \"kim\""), std::string::npos)
        << conflict.errors;
    choose = [](table_operation) { return table_fault::Down; };
    EXPECT_EQ(runWith({ "runner", "list" }).code, number(exit_code::TableUnavailable));
    bool isWritten = false;
    choose = [&](table_operation operation) {
        if (isWritten)
            return table_fault::Down;
        isWritten = operation == table_operation::Transact;
        return isWritten ? table_fault::AnswerLost : table_fault::None;
    };
    const run_result unknown = runWith({ "contract", "set", "crew", "tokens_per_second=400" });
    EXPECT_EQ(unknown.code, number(exit_code::OutcomeUnknown));
    EXPECT_NE(unknown.errors.find("change/00000000000000000003"), std::string::npos) << unknown.errors;
}

// Guards against an applied file that undoes a drain.
TEST_F(cli, appliedFileKeepsADrainedRunnerDrained)
{
    applyFleet();
    EXPECT_EQ(runWith({ "runner", "drain", "g-1" }).code, 0);
    EXPECT_EQ(runWith({ "apply", path("fleet.json") }).code, 0);
    EXPECT_EQ(inTable().runners.at(runner_id("r1")).target, runner_target::Draining);
    EXPECT_EQ(inTable().runners.at(runner_id("r2")).target, runner_target::Draining);
    EXPECT_EQ(runWith({ "runner", "start", "r2" }).code, 0);
    EXPECT_EQ(inTable().runners.at(runner_id("r2")).target, runner_target::Serving);
}

// Guards against a drain of the wrong machine: "r1" is a runner on one instance and the name of another.
TEST_F(cli, nameOfARunnerAndOfAnotherInstanceIsRefused)
{
    applyFleet();
    std::string other = fleetText;
    const std::string second = R"("id":"r2","pool":"p","instance":"box")";
    other.replace(other.find(second), second.size(), R"("id":"r2","pool":"p","instance":"r1")");
    write("other.json", other);
    EXPECT_EQ(runWith({ "apply", path("other.json") }).code, 0);
    EXPECT_EQ(runWith({ "runner", "drain", "r1" }).code, number(exit_code::InvalidInput));
    EXPECT_EQ(runWith({ "runner", "drain", "box" }).code, 0);
}

TEST_F(cli, applyRemovesOnlyWithPrune)
{
    applyFleet();
    write("small.json", R"({"naming_schemes":["grid"],"pools":[{"id":"p","kind":"model","wanted_runners":2}]})");
    EXPECT_EQ(runWith({ "apply", path("small.json") }).code, 0);
    EXPECT_EQ(inTable().runners.size(), 2U);
    EXPECT_EQ(runWith({ "--prune", "apply", path("small.json") }).code, 0);
    EXPECT_TRUE(inTable().runners.empty());
    EXPECT_EQ(inTable().pools.size(), 1U);
}

// Guards against a change that does not fit into one frame between daemons.
TEST_F(cli, largeFileIsCommittedAsSeveralChanges)
{
    nlohmann::json large = nlohmann::json::parse(fleetText);
    for (int team = 0; team < 4000; ++team) {
        large["teams"].push_back(large["teams"][0]);
        large["teams"].back()["id"] = "crew-" + std::to_string(team);
        large["teams"].back().erase("aliases");
    }
    write("large.json", large.dump());
    const run_result result = runWith({ "--json", "apply", path("large.json") });
    EXPECT_EQ(result.code, 0) << result.errors;
    EXPECT_GT(nlohmann::json::parse(result.out)["version"], 2);
    EXPECT_EQ(inTable().teams.size(), 4001U);
    constexpr std::size_t largestChange = 300'000;
    for (const auto& [key, row] : table.rows())
        EXPECT_LT(row.value.size(), largestChange) << key;
}

TEST_F(cli, badContractFieldsAreAllListed)
{
    applyFleet();
    const run_result result
        = runWith({ "contract", "set", "crew", "answer_within_ms=0", "service_class=vip", "burst=3" });
    EXPECT_EQ(result.code, number(exit_code::InvalidInput));
    for (const char* field : { "contract.answer_within_ms", "contract.service_class", "contract.burst" })
        EXPECT_NE(result.errors.find(field), std::string::npos) << result.errors;
    EXPECT_EQ(runWith({ "contract", "get", "nobody" }).code, number(exit_code::NotFound));
}

TEST_F(cli, statusShowsDaemonsAndWhoDidNotAnswer)
{
    statusText = R"({"daemon":"e1","role":"entry","incarnation":3,"config_version":9,"ready":true,"in_flight":4,
        "runners":[{"id":"r1","queued":1,"running":2,"accepting":true}],"added_later":0})";
    EXPECT_EQ(runWith({ "status" }).code, 0);
    entries["127.0.0.1:13"].isReachable = false;
    const run_result result = runWith({ "--json", "status" });
    EXPECT_EQ(result.code, number(exit_code::DaemonsUnreachable));
    EXPECT_EQ(nlohmann::json::parse(result.out)["daemons"].size(), 1U);
    EXPECT_EQ(nlohmann::json::parse(result.out)["unreachable"][0]["address"], "127.0.0.1:13");
    EXPECT_NE(runWith({ "status" }).out.find("e1      r1      1       2        yes"), std::string::npos);
}

TEST_F(cli, explainPrintsTheLinesOfAllEntries)
{
    EXPECT_EQ(runWith({ "explain", "q-1" }).code, number(exit_code::NotFound));
    logLine = "route: q-1 to r1";
    const run_result result = runWith({ "explain", "q-1" });
    EXPECT_EQ(result.code, 0);
    EXPECT_NE(result.out.find("127.0.0.1:21 route: q-1 to r1\n"), std::string::npos) << result.out;
}

TEST_F(cli, badSettingsAreAllListed)
{
    write("settings.json", R"({"table":"here","entries":{"z":["127.0.0.1"]},"author":"kim","retries":3})");
    const run_result result = runWith({ "--check-config" });
    EXPECT_EQ(result.code, number(exit_code::InvalidInput));
    for (const char* field : { "\"table\"", "\"entries.z[0]\"", "\"operator_key\"", "\"retries\"" })
        EXPECT_NE(result.errors.find(field), std::string::npos) << result.errors;
}

// Guards against exit codes that the help text or the documentation does not give.
TEST_F(cli, helpAndDocumentationGiveEveryExitCode)
{
    std::ifstream file(SARDINELB_SOURCE_DIR "/docs/cli.md");
    std::stringstream documentation;
    documentation << file.rdbuf();
    const std::string help = runWith({ "--help" }).out;
    for (int code = 0; code <= number(exit_code::DaemonsUnreachable); ++code) {
        const std::string meaning = describe(static_cast<exit_code>(code));
        const std::string row = "| " + std::to_string(code) + " | " + meaning + " |";
        EXPECT_NE(documentation.str().find(row), std::string::npos) << row;
        EXPECT_NE(help.find(std::to_string(code) + "  " + meaning), std::string::npos) << meaning;
    }
}

}
