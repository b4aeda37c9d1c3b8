#include "cli/contract_commands.h"

#include "cli/command_context.h"
#include "cli/commit_updates.h"
#include "cli/configuration_diff.h"
#include "cli/text_table.h"
#include "state/change_log.h"
#include "state/derived_limits.h"
#include "state/entity_json.h"
#include "state/name_index.h"

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>

namespace sardinelb {

namespace {

using nlohmann::json;

const std::vector<std::string> contractFields {
    "tokens_per_second",
    "requests_per_second",
    "service_class",
    "answer_within_ms",
};

command_result<configuration> load(change_log& log)
{
    auto loaded = log.load();
    if (!loaded)
        return toCommandError(loaded.error());
    return std::move(loaded.value());
}

command_result<team> findTeam(const configuration& current, const std::string& name)
{
    const auto index = name_index::build(current);
    if (!index)
        return toCommandError(index.error());
    const auto id = index.value().findTeam(name);
    if (!id)
        return command_error { exit_code::NotFound, "team \"" + name + "\"", "no team has this name in any scheme" };
    return current.teams.at(*id);
}

json contractOf(const team& value) { return entityToJson(value)["contract"]; }

std::string textOf(const json& value) { return value.is_string() ? value.get<std::string>() : value.dump(); }

json limitsOf(const team& value)
{
    const derived_limits limits = limitsFor(value.terms);
    return { { "burst_tokens", limits.burst.value() }, { "burst_requests", limits.requestBurst },
        { "requests_in_flight", limits.inFlight }, { "queue_weight", limits.weight },
        { "retries_per_request", limits.retryRatio } };
}

void appendRows(std::vector<std::vector<std::string>>& rows, const json& fields)
{
    for (const auto& [key, value] : fields.items())
        rows.push_back({ key, textOf(value) });
}

// Parses the text as a JSON number; any other text is a string.
json parseValue(const std::string& text)
{
    json value = json::parse(text, nullptr, false);
    return value.is_number() ? value : json(text);
}

command_result<json> assign(json contract, const std::vector<std::string>& assignments)
{
    for (const std::string& assignment : assignments) {
        const std::size_t equals = assignment.find('=');
        if (equals == std::string::npos)
            return command_error { exit_code::InvalidInput, assignment, "expected FIELD=VALUE" };
        contract[assignment.substr(0, equals)] = parseValue(assignment.substr(equals + 1));
    }
    return contract;
}

command_result<entity> withContract(const team& value, const json& contract)
{
    json fields = entityToJson(value);
    fields["contract"] = contract;
    document_faults faults;
    entity changed
        = entityFromJson(entity_kind::Team, value.id.value(), fields, "team \"" + value.id.value() + "\"", faults);
    if (!faults.empty())
        return toCommandError(faults);
    return changed;
}

}

command_outcome listContracts(const command_context& context)
{
    change_log log(context.services.table);
    BOOST_OUTCOME_TRY(const configuration current, load(log));
    std::vector<std::vector<std::string>> rows { { "TEAM" } };
    rows.front().insert(rows.front().end(), contractFields.begin(), contractFields.end());
    json contracts = json::object();
    for (const auto& [id, value] : current.teams) {
        const json contract = contractOf(value);
        contracts[id.value()] = contract;
        std::vector<std::string> row { id.value() };
        for (const std::string& field : contractFields)
            row.push_back(textOf(contract[field]));
        rows.push_back(std::move(row));
    }
    const json document { { "version", current.version.value() }, { "contracts", contracts } };
    return command_output { formatTable(rows), document.dump() };
}

command_outcome showContract(const command_context& context, const std::string& name)
{
    change_log log(context.services.table);
    BOOST_OUTCOME_TRY(const configuration current, load(log));
    BOOST_OUTCOME_TRY(const team found, findTeam(current, name));
    const json document { { "team", found.id.value() }, { "changed_at", found.changedAt.value() },
        { "aliases", found.aliases }, { "contract", contractOf(found) }, { "derived_limits", limitsOf(found) } };
    std::vector<std::vector<std::string>> rows { { "FIELD", "VALUE" }, { "team", found.id.value() } };
    for (const auto& [scheme, alias] : found.aliases)
        rows.push_back({ "alias in " + scheme, alias });
    appendRows(rows, document["contract"]);
    appendRows(rows, document["derived_limits"]);
    return command_output { formatTable(rows), document.dump() };
}

command_outcome setContract(
    const command_context& context, const std::string& name, const std::vector<std::string>& assignments)
{
    change_log log(context.services.table);
    BOOST_OUTCOME_TRY(const configuration current, load(log));
    BOOST_OUTCOME_TRY(const team found, findTeam(current, name));
    BOOST_OUTCOME_TRY(const json contract, assign(contractOf(found), assignments));
    BOOST_OUTCOME_TRY(const entity changed, withContract(found, contract));
    std::vector<entity_update> updates;
    if (auto update = updateFor(current, changed))
        updates.push_back(std::move(*update));
    return commitUpdates(context, log, updates);
}

}
