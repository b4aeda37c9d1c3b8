#include "cli/apply_command.h"

#include "cli/command_context.h"
#include "cli/commit_updates.h"
#include "cli/configuration_diff.h"
#include "cli/read_file.h"
#include "state/change_log.h"
#include "state/configuration_parser.h"

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>

#include <set>

namespace sardinelb {

namespace {

// Runners whose target is set in the file. The text must be a valid document.
std::set<runner_id> runnersWithTarget(const std::string& text)
{
    std::set<runner_id> withTarget;
    const auto document = nlohmann::json::parse(text);
    if (!document.contains("runners"))
        return withTarget;
    for (const auto& element : document["runners"]) {
        if (element.contains("target"))
            withTarget.emplace(element["id"].get<std::string>());
    }
    return withTarget;
}

void preserveTargets(std::vector<entity>& wanted, const configuration& current, const std::string& text)
{
    const std::set<runner_id> withTarget = runnersWithTarget(text);
    for (entity& value : wanted) {
        auto* const wantedRunner = std::get_if<runner>(&value);
        if (!wantedRunner || withTarget.contains(wantedRunner->id))
            continue;
        const auto existing = current.runners.find(wantedRunner->id);
        if (existing != current.runners.end())
            wantedRunner->target = existing->second.target;
    }
}

}

command_outcome applyFile(const command_context& context, const std::string& path, bool prune)
{
    BOOST_OUTCOME_TRY(const std::string text, readFile(path));
    auto wanted = parseDocument(text, path);
    if (!wanted)
        return toCommandError(wanted.error());
    change_log log(context.services.table);
    const auto loaded = log.load();
    if (!loaded)
        return toCommandError(loaded.error());
    preserveTargets(wanted.value(), loaded.value(), text);
    return commitUpdates(context, log, configurationDiff(loaded.value(), wanted.value(), prune));
}

}
