#include "cli/daemon_status.h"

#include "state/object_reader.h"

#include <nlohmann/json.hpp>

#include <limits>

namespace sardinelb {

namespace {

using nlohmann::json;

constexpr std::int64_t maxCount = std::numeric_limits<std::int64_t>::max();

daemon_status::runner_state readRunner(const json& element, const std::string& sender, document_faults& faults)
{
    object_reader reader(element, sender, "runners.", faults);
    daemon_status::runner_state state;
    state.id = runner_id(reader.requiredString("id"));
    state.queued = reader.requiredInteger("queued", 0, maxCount);
    state.running = reader.requiredInteger("running", 0, maxCount);
    state.accepting = reader.optionalFlag("accepting");
    return state;
}

}

document_result<daemon_status> parseDaemonStatus(std::string_view text, const std::string& sender)
{
    document_faults faults;
    const json document = parseStrictJson(text, sender, faults);
    if (!faults.empty())
        return faults;
    object_reader reader(document, sender, "", faults);
    daemon_status status;
    status.daemon = daemon_id(reader.requiredString("daemon"));
    status.role = reader.requiredString("role");
    status.daemonIncarnation
        = incarnation(static_cast<std::uint64_t>(reader.requiredInteger("incarnation", 0, maxCount)));
    status.version = config_version(static_cast<std::uint64_t>(reader.requiredInteger("config_version", 0, maxCount)));
    status.ready = reader.optionalFlag("ready");
    status.inFlight = reader.requiredInteger("in_flight", 0, maxCount);
    const json* runners = reader.optionalValue("runners");
    if (runners && runners->is_array()) {
        for (const json& element : *runners)
            status.runners.push_back(readRunner(element, sender, faults));
    }
    if (!faults.empty())
        return faults;
    return status;
}

}
