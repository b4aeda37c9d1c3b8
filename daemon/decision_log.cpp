#include "daemon/decision_log.h"

namespace sardinelb {

namespace {

// About a minute of decisions at the target rate of 16 requests per second per entry; takes a few megabytes.
constexpr std::size_t maxLines = 8192;

}

void decision_log::add(const request_id& request, std::string line)
{
    const std::lock_guard lock(m_mutex);
    m_lines.emplace_back(request, std::move(line));
    if (m_lines.size() > maxLines)
        m_lines.pop_front();
}

std::vector<std::string> decision_log::linesOf(const request_id& request) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> lines;
    for (const auto& [id, line] : m_lines) {
        if (id == request)
            lines.push_back(line);
    }
    return lines;
}

}
