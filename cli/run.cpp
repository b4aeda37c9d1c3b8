#include "cli/run.h"

#include "cli/apply_command.h"
#include "cli/command_context.h"
#include "cli/command_line.h"
#include "cli/contract_commands.h"
#include "cli/explain_command.h"
#include "cli/read_file.h"
#include "cli/runner_commands.h"
#include "cli/status_command.h"
#include "cli/validate_command.h"

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>

#include <exception>
#include <ostream>

namespace sardinelb {

namespace {

command_error usageError(const std::string& subject, const std::string& detail)
{
    return { exit_code::Usage, subject, detail + "; see --help" };
}

command_result<cli_settings> readSettings(const std::string& file)
{
    BOOST_OUTCOME_TRY(const std::string text, readFile(file));
    auto settings = parseCliSettings(text, file);
    if (!settings)
        return toCommandError(settings.error());
    return std::move(settings.value());
}

bool isCommand(const std::vector<std::string>& arguments, const char* first, const char* second, std::size_t count)
{
    return arguments.size() == count && arguments[0] == first && arguments[1] == second;
}

command_outcome runContract(const command_context& context, const std::vector<std::string>& arguments)
{
    if (isCommand(arguments, "contract", "list", 2))
        return listContracts(context);
    if (isCommand(arguments, "contract", "get", 3))
        return showContract(context, arguments[2]);
    if (arguments.size() > 3 && arguments[1] == "set")
        return setContract(context, arguments[2], { arguments.begin() + 3, arguments.end() });
    return usageError("contract", "expected list, get TEAM or set TEAM FIELD=VALUE");
}

command_outcome runRunner(const command_context& context, const std::vector<std::string>& arguments)
{
    if (isCommand(arguments, "runner", "list", 2))
        return listRunners(context);
    if (isCommand(arguments, "runner", "drain", 3))
        return setRunnerTarget(context, arguments[2], runner_target::Draining);
    if (isCommand(arguments, "runner", "start", 3))
        return setRunnerTarget(context, arguments[2], runner_target::Serving);
    if (isCommand(arguments, "runner", "stop", 3))
        return setRunnerTarget(context, arguments[2], runner_target::Stopped);
    return usageError("runner", "expected list, drain NAME, start NAME or stop NAME");
}

command_outcome runWithServices(const command_context& context, const command_line& line)
{
    const std::vector<std::string>& arguments = line.arguments;
    const std::string& command = arguments.front();
    if (command == "apply" && arguments.size() == 2)
        return applyFile(context, arguments[1], line.prune);
    if (command == "contract")
        return runContract(context, arguments);
    if (command == "runner")
        return runRunner(context, arguments);
    if (command == "status" && arguments.size() == 1)
        return showStatus(context);
    if (command == "explain" && arguments.size() == 2)
        return explainRequest(context, arguments[1]);
    return usageError(command, "unknown command or wrong number of arguments");
}

command_outcome runCommand(const command_line& line, const run_environment& environment)
{
    if (line.help)
        return command_output { helpText(), nlohmann::json { { "help", helpText() } }.dump() };
    if (line.version)
        return command_output { std::string("sardinelb ") + SARDINELB_VERSION + "\n",
            nlohmann::json { { "version", SARDINELB_VERSION } }.dump() };
    if (line.checkConfig) {
        BOOST_OUTCOME_TRY(readSettings(line.configFile));
        return command_output { line.configFile + " is valid\n", R"({"valid":true})" };
    }
    if (line.arguments.empty())
        return usageError("sardinelb", "expected a command");
    if (line.arguments[0] == "validate" && line.arguments.size() == 2)
        return validateFile(line.arguments[1]);
    BOOST_OUTCOME_TRY(const cli_settings settings, readSettings(line.configFile));
    const command_context context { settings, environment.connect(settings), environment.openLog(line.logLevel) };
    return runWithServices(context, line);
}

// Prefixes the detail with the subject, unless it starts with it already: a list of document faults does.
std::string errorText(const command_error& error)
{
    return error.detail.starts_with(error.subject) ? error.detail : error.subject + ": " + error.detail;
}

std::string errorJson(const command_error& error)
{
    const nlohmann::json document { { "error",
        { { "exit_code", static_cast<int>(error.code) }, { "meaning", describe(error.code) },
            { "subject", error.subject }, { "detail", error.detail } } } };
    return document.dump();
}

int print(const command_outcome& outcome, bool asJson, const run_environment& environment)
{
    if (outcome) {
        environment.out << (asJson ? outcome.value().json + "\n" : outcome.value().text);
        return static_cast<int>(outcome.value().code);
    }
    const command_error& error = outcome.error();
    if (asJson)
        environment.out << errorJson(error) << "\n";
    else
        environment.errors << "sardinelb: " << describe(error.code) << "\n"
                           << errorText(error) << "\n";
    return static_cast<int>(error.code);
}

}

int run(int argc, char* const* argv, const run_environment& environment)
{
    const auto line = parseCommandLine(argc, argv);
    if (!line)
        return print(line.error(), false, environment);
    try {
        return print(runCommand(line.value(), environment), line.value().json, environment);
    } catch (const std::exception& error) {
        const command_error internal { exit_code::InternalError, "sardinelb", error.what() };
        return print(internal, line.value().json, environment);
    }
}

}
