#include "cli/status_command.h"

#include "cli/command_context.h"
#include "cli/daemon_status.h"
#include "cli/entry_calls.h"
#include "cli/text_table.h"

#include <nlohmann/json.hpp>

#include <set>

namespace sardinelb {

namespace {

using nlohmann::json;

const char* yesOrNo(bool value) { return value ? "yes" : "no"; }

// Collects the responses of the entries. Several entries may know the same agent; each daemon is shown once.
class status_report {
public:
    void add(const entry_response& response)
    {
        if (!response.lines) {
            addUnreachable(response.address, response.lines.error().detail);
            return;
        }
        for (const std::string& text : response.lines.value())
            addDaemon(response.address, text);
    }

    command_output output() const
    {
        std::string text = formatTable(m_daemonRows);
        if (m_runnerRows.size() > 1)
            text += "\n" + formatTable(m_runnerRows);
        if (m_unreachableRows.size() > 1)
            text += "\n" + formatTable(m_unreachableRows);
        const exit_code code = m_unreachable.empty() ? exit_code::Success : exit_code::DaemonsUnreachable;
        return { text, json { { "daemons", m_daemons }, { "unreachable", m_unreachable } }.dump(), code };
    }

private:
    void addUnreachable(const std::string& address, const std::string& reason)
    {
        m_unreachable.push_back({ { "address", address }, { "reason", reason } });
        m_unreachableRows.push_back({ address, reason });
    }

    void addDaemon(const std::string& address, const std::string& text)
    {
        const auto parsed = parseDaemonStatus(text, address);
        if (!parsed) {
            addUnreachable(address, toStateError(parsed.error()).detail);
            return;
        }
        const daemon_status& status = parsed.value();
        if (!m_knownDaemons.insert(status.daemon).second)
            return;
        m_daemons.push_back(json::parse(text));
        m_daemonRows.push_back({ status.daemon.value(), status.role, std::to_string(status.daemonIncarnation.value()),
            std::to_string(status.version.value()), yesOrNo(status.ready), std::to_string(status.inFlight) });
        for (const auto& state : status.runners)
            m_runnerRows.push_back({ status.daemon.value(), state.id.value(), std::to_string(state.queued),
                std::to_string(state.running), yesOrNo(state.accepting) });
    }

    std::set<daemon_id> m_knownDaemons;
    json m_daemons = json::array();
    json m_unreachable = json::array();
    std::vector<std::vector<std::string>> m_daemonRows { { "DAEMON", "ROLE", "INCARNATION", "CONFIG", "READY",
        "IN FLIGHT" } };
    std::vector<std::vector<std::string>> m_runnerRows { { "DAEMON", "RUNNER", "QUEUED", "RUNNING", "ACCEPTING" } };
    std::vector<std::vector<std::string>> m_unreachableRows { { "NO STATUS FROM", "REASON" } };
};

}

command_outcome showStatus(const command_context& context)
{
    status_report report;
    for (const entry_response& response : queryAllEntries(context.settings, context.services.readStatus))
        report.add(response);
    return report.output();
}

}
