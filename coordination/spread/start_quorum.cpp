#include "coordination/spread/start_quorum.h"

#include "coordination/spread/majority.h"

#include <algorithm>
#include <iterator>

namespace sardinelb {

void start_quorum::setEntries(std::vector<daemon_id> entries, const daemon_id& self)
{
    m_entryCount = entries.size();
    std::erase(entries, self);
    m_otherEntries = std::move(entries);
    m_answers.clear();
}

std::vector<daemon_id> start_quorum::unansweredEntries() const
{
    std::vector<daemon_id> waiting;
    std::copy_if(m_otherEntries.begin(), m_otherEntries.end(), std::back_inserter(waiting),
        [this](const daemon_id& entry) { return !m_answers.contains(entry); });
    return waiting;
}

void start_quorum::onAnswer(const daemon_id& entry, config_version version)
{
    if (std::find(m_otherEntries.begin(), m_otherEntries.end(), entry) != m_otherEntries.end())
        m_answers.insert_or_assign(entry, version);
}

std::optional<config_version> start_quorum::requiredVersion() const
{
    // An empty list of entries has no majority.
    if (m_entryCount == 0 || m_answers.size() < majorityOf(m_entryCount))
        return std::nullopt;
    config_version highest;
    for (const auto& [entry, version] : m_answers)
        highest = std::max(highest, version);
    return highest;
}

std::optional<start_quorum::answer> start_quorum::drawBest(std::mt19937_64& random) const
{
    std::vector<answer> best;
    for (const auto& [entry, version] : m_answers) {
        if (!best.empty() && version < best.front().version)
            continue;
        if (!best.empty() && version > best.front().version)
            best.clear();
        best.push_back({ entry, version });
    }
    if (best.empty())
        return std::nullopt;
    return best[std::uniform_int_distribution<std::size_t>(0, best.size() - 1)(random)];
}

}
