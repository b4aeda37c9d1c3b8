#include "coordination/spread/change_history.h"

namespace sardinelb {

namespace {

// Tables, offsets and numbers around the texts of a change and of each of its updates.
constexpr std::size_t changeOverhead = 64;
constexpr std::size_t updateOverhead = 32;

}

std::size_t messageBytes(const configuration_change& change)
{
    std::size_t bytes = changeOverhead + change.author.size() + change.token.size();
    for (const entity_update& update : change.updates)
        bytes += updateOverhead + update.id.size() + (update.value ? update.value->size() : 0);
    return bytes;
}

change_history::change_history(std::size_t maxChanges, std::size_t maxBytes)
    : m_maxChanges(maxChanges)
    , m_maxBytes(maxBytes)
{
}

void change_history::restart(config_version version)
{
    m_changes.clear();
    m_bytes = 0;
    m_base = version;
}

void change_history::add(const configuration_change& change)
{
    m_changes.push_back({ change, messageBytes(change) });
    m_bytes += m_changes.back().bytes;
    while (m_changes.size() > m_maxChanges || m_bytes > m_maxBytes) {
        m_bytes -= m_changes.front().bytes;
        m_base = m_changes.front().change.version;
        m_changes.pop_front();
        if (m_changes.empty())
            break;
    }
}

std::vector<configuration_change> change_history::after(config_version version, std::size_t maxBytes) const
{
    std::vector<configuration_change> found;
    if (!covers(version))
        return found;
    std::size_t bytes = 0;
    for (std::size_t index = version.value() - m_base.value(); index < m_changes.size(); ++index) {
        bytes += m_changes[index].bytes;
        if (!found.empty() && bytes > maxBytes)
            break;
        found.push_back(m_changes[index].change);
    }
    return found;
}

}
