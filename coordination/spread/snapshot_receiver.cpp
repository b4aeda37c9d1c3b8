#include "coordination/spread/snapshot_receiver.h"

#include "state/configuration_check.h"
#include "state/snapshot_json.h"

namespace sardinelb {

namespace {

std::string locationOf(config_version version) { return "snapshot " + std::to_string(version.value()); }

}

void snapshot_receiver::reset(config_version version)
{
    m_next = 0;
    m_received = configuration();
    m_received.version = version;
}

document_result<std::optional<configuration>> snapshot_receiver::add(const changes_message::snapshot_part& part)
{
    if (part.first == 0)
        reset(part.version);
    if (part.version != m_received.version || part.first != m_next)
        return std::nullopt;
    const document_faults faults = addSlice(m_received, part.text, locationOf(part.version));
    if (!faults.empty()) {
        reset(config_version());
        return faults;
    }
    m_next = part.next;
    if (m_next < part.total)
        return std::nullopt;
    return finish();
}

document_result<std::optional<configuration>> snapshot_receiver::finish()
{
    configuration complete = std::move(m_received);
    reset(config_version());
    const document_faults faults = configurationFaults(complete, locationOf(complete.version));
    if (!faults.empty())
        return faults;
    return std::optional(std::move(complete));
}

}
