#include "cli/explain_command.h"

#include "cli/command_context.h"
#include "cli/entry_calls.h"

#include <nlohmann/json.hpp>

namespace sardinelb {

command_outcome explainRequest(const command_context& context, const std::string& request)
{
    using nlohmann::json;
    json entries = json::array();
    json unreachable = json::array();
    std::string text;
    const auto query = [&](const std::string& address) { return context.services.explain(address, request); };
    for (const entry_response& response : queryAllEntries(context.settings, query)) {
        if (!response.lines) {
            unreachable.push_back(response.address);
            text += "no response from " + response.address + ": " + response.lines.error().detail + "\n";
            continue;
        }
        if (!response.lines.value().empty())
            entries.push_back({ { "address", response.address }, { "lines", response.lines.value() } });
        for (const std::string& line : response.lines.value())
            text += response.address + " " + line + "\n";
    }
    if (entries.empty() && unreachable.empty())
        return command_error { exit_code::NotFound, "request \"" + request + "\"", "no entry has a log line for it" };
    const exit_code code = unreachable.empty() ? exit_code::Success : exit_code::DaemonsUnreachable;
    const json document { { "request", request }, { "entries", entries }, { "unreachable", unreachable } };
    return command_output { text, document.dump(), code };
}

}
