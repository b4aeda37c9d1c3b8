#include "coordination/spread/change_history.h"

namespace sardinelb {

namespace {

// Encoding overhead of a change and of each of its updates besides their strings: tables, offsets and numbers.
constexpr std::size_t changeOverheadBytes = 64;
constexpr std::size_t updateOverheadBytes = 32;

}

std::size_t approximateMessageBytes(const configuration_change& change)
{
    std::size_t bytes = changeOverheadBytes + change.author.size() + change.token.size();
    for (const entity_update& update : change.updates)
        bytes += updateOverheadBytes + update.id.size() + (update.value ? update.value->size() : 0);
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
    m_baseVersion = version;
}

void change_history::add(const configuration_change& change)
{
    m_changes.push_back({ change, approximateMessageBytes(change) });
    m_bytes += m_changes.back().bytes;
    while (m_changes.size() > m_maxChanges || m_bytes > m_maxBytes) {
        m_bytes -= m_changes.front().bytes;
        m_baseVersion = m_changes.front().change.version;
        m_changes.pop_front();
        if (m_changes.empty())
            break;
    }
}

const configuration_change* change_history::find(config_version version) const
{
    if (version <= m_baseVersion || version.value() - m_baseVersion.value() > m_changes.size())
        return nullptr;
    return &m_changes[version.value() - m_baseVersion.value() - 1].change;
}

std::vector<configuration_change> change_history::changesAfter(config_version version, std::size_t maxBytes) const
{
    std::vector<configuration_change> found;
    if (!hasAllAfter(version))
        return found;
    std::size_t bytes = 0;
    for (std::size_t index = version.value() - m_baseVersion.value(); index < m_changes.size(); ++index) {
        bytes += m_changes[index].bytes;
        if (!found.empty() && bytes > maxBytes)
            break;
        found.push_back(m_changes[index].change);
    }
    return found;
}

}
