#include "cli/runner_commands.h"

#include "cli/command_context.h"
#include "cli/commit_updates.h"
#include "cli/configuration_diff.h"
#include "cli/text_table.h"
#include "state/change_log.h"
#include "state/entity_json.h"
#include "state/name_index.h"

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>

#include <set>

namespace sardinelb {

namespace {

using nlohmann::json;

const char* nameOf(runner_target target)
{
    switch (target) {
    case runner_target::Serving:
        return "serving";
    case runner_target::Draining:
        return "draining";
    case runner_target::Stopped:
        return "stopped";
    }
    return "invalid";
}

std::set<runner_id> runnersOn(const configuration& current, const instance_id& id)
{
    std::set<runner_id> found;
    for (const auto& [name, value] : current.runners) {
        if (value.instance == id)
            found.insert(name);
    }
    return found;
}

command_result<std::set<runner_id>> findRunners(const configuration& current, const std::string& name)
{
    const auto index = name_index::build(current);
    if (!index)
        return toCommandError(index.error());
    const auto instance = index.value().findInstance(name);
    const std::set<runner_id> byInstance = instance ? runnersOn(current, *instance) : std::set<runner_id>();
    std::set<runner_id> byName;
    if (current.runners.contains(runner_id(name)))
        byName.insert(runner_id(name));
    if (byName.empty() && byInstance.empty())
        return command_error { exit_code::NotFound, "runner \"" + name + "\"",
            "no runner has this name, and no instance with runners has it in any scheme" };
    // Undoing a drain of the wrong runners does not bring back the work that they rejected in the meantime.
    if (!byName.empty() && !byInstance.empty() && byName != byInstance)
        return command_error { exit_code::InvalidInput, "runner \"" + name + "\"",
            "the name is a runner and also instance \"" + instance->value() + "\" with other runners" };
    return byName.empty() ? byInstance : byName;
}

}

command_outcome listRunners(const command_context& context)
{
    change_log log(context.services.table);
    const auto loaded = log.load();
    if (!loaded)
        return toCommandError(loaded.error());
    std::vector<std::vector<std::string>> rows { { "RUNNER", "POOL", "INSTANCE", "ZONE", "AGENT", "TARGET" } };
    json list = json::array();
    for (const auto& [id, value] : loaded.value().runners) {
        const char* target = nameOf(value.target);
        rows.push_back({ id.value(), value.pool.value(), value.instance.value(), value.zone.value(),
            value.agentAddress, target });
        list.push_back({ { "id", id.value() }, { "pool", value.pool.value() }, { "instance", value.instance.value() },
            { "zone", value.zone.value() }, { "agent_address", value.agentAddress }, { "target", target } });
    }
    const json document { { "version", loaded.value().version.value() }, { "runners", list } };
    return command_output { formatTable(rows), document.dump() };
}

command_outcome setRunnerTarget(const command_context& context, const std::string& name, runner_target target)
{
    change_log log(context.services.table);
    const auto loaded = log.load();
    if (!loaded)
        return toCommandError(loaded.error());
    BOOST_OUTCOME_TRY(const std::set<runner_id> found, findRunners(loaded.value(), name));
    std::vector<entity_update> updates;
    for (const runner_id& id : found) {
        runner changed = loaded.value().runners.at(id);
        changed.target = target;
        if (auto update = updateFor(loaded.value(), changed))
            updates.push_back(std::move(*update));
    }
    return commitUpdates(context, log, updates);
}

}
