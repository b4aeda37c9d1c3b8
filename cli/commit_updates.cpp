#include "cli/commit_updates.h"

#include "cli/acceptance.h"
#include "cli/command_context.h"
#include "cli/configuration_diff.h"
#include "state/change_log.h"

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>

namespace sardinelb {

namespace {

using nlohmann::json;

// Fits into a frame of 1 MiB with space to spare, and is below the size limit of the change log.
constexpr std::size_t maxChangeBytes = 262'144;

std::string versionText(const configuration_change& change) { return std::to_string(change.version.value()); }

// Adds to the error which changes of this command are already committed.
command_error withCommittedChanges(command_error error, const std::vector<configuration_change>& committed)
{
    if (!committed.empty())
        error.detail += "; the changes up to " + versionText(committed.back())
            + " of this command are committed; apply the file again to commit the rest";
    return error;
}

command_result<std::vector<configuration_change>> commitAll(
    const command_context& context, change_log& log, const std::vector<entity_update>& updates)
{
    std::vector<configuration_change> committed;
    for (const std::vector<entity_update>& group : splitUpdates(updates, maxChangeBytes)) {
        const configuration_change draft { {}, context.settings.author, context.services.generateToken(), group };
        const auto change = log.append(draft);
        if (!change)
            return withCommittedChanges(toCommandError(change.error()), committed);
        context.logDebug("config: committed change " + versionText(change.value()));
        committed.push_back(change.value());
    }
    return committed;
}

// Returns the latest change, or nothing if the log is empty.
command_result<std::vector<configuration_change>> latestChange(const change_log& log)
{
    const std::uint64_t version = log.current().version.value();
    if (version == 0)
        return std::vector<configuration_change>();
    auto changes = log.readAfter(config_version(version - 1));
    if (!changes)
        return toCommandError(changes.error());
    return std::move(changes.value());
}

json describeUpdates(const std::vector<entity_update>& updates)
{
    json list = json::array();
    for (const entity_update& update : updates)
        list.push_back({ { "kind", toString(update.kind) }, { "id", update.id },
            { "action", !update.value ? "removed" : update.base.value() == 0 ? "added"
                                                                             : "changed" } });
    return list;
}

std::string updateLines(const json& updates)
{
    std::string text;
    for (const json& update : updates) {
        text += update["action"].get<std::string>();
        text += " " + update["kind"].get<std::string>();
        text += " " + update["id"].get<std::string>() + "\n";
    }
    return text;
}

json describeZones(const acceptance& accepted)
{
    json list = json::array();
    for (const zone_acceptance& zone : accepted.zones)
        list.push_back({ { "zone", zone.zone.value() }, { "entries", zone.entries }, { "answered", zone.answered },
            { "holding", zone.holding }, { "accepted", zone.isAccepted() } });
    return list;
}

std::string summaryLine(const acceptance& accepted, const std::string& version)
{
    switch (accepted.code()) {
    case exit_code::Success:
        return "change " + version + " is accepted\n";
    case exit_code::ZoneUnreachable:
        return "change " + version + " is accepted in all reachable zones; a zone is unreachable\n";
    default:
        return "change " + version + " is committed but not accepted\n";
    }
}

command_output report(const std::vector<entity_update>& updates, const acceptance& accepted, const std::string& version)
{
    const json updateList = describeUpdates(updates);
    const exit_code code = accepted.code();
    const bool isAccepted = code == exit_code::Success || code == exit_code::ZoneUnreachable;
    const json document { { "version", std::stoull(version) }, { "updates", updateList }, { "accepted", isAccepted },
        { "zones", describeZones(accepted) } };
    const std::string changed = updates.empty() ? "nothing to change\n" : updateLines(updateList);
    return { changed + summaryLine(accepted, version) + accepted.describe(), document.dump(), code };
}

}

command_outcome commitUpdates(
    const command_context& context, change_log& log, const std::vector<entity_update>& updates)
{
    BOOST_OUTCOME_TRY(const std::vector<configuration_change> changes,
        updates.empty() ? latestChange(log) : commitAll(context, log, updates));
    if (changes.empty())
        return command_output { "nothing to change\n", R"({"version":0,"updates":[],"accepted":true,"zones":[]})" };
    const acceptance accepted = pushChanges(changes, context.settings, context.services);
    return report(updates, accepted, versionText(changes.back()));
}

}
