#include "serving/event_splitter.h"

#include <algorithm>

namespace sardinelb {

void event_splitter::add(std::string_view bytes)
{
    m_pending.append(bytes);
}

std::string event_splitter::takeEvents()
{
    std::size_t end = 0;
    while (true) {
        // The blank line that ends an event may use LF or CRLF.
        const std::size_t lf = m_pending.find("\n\n", end);
        const std::size_t crlf = m_pending.find("\r\n\r\n", end);
        const std::size_t next = std::min(lf == std::string::npos ? lf : lf + 2, crlf == std::string::npos ? crlf : crlf + 4);
        if (next == std::string::npos)
            break;
        recordEvent(std::string_view(m_pending).substr(end, next - end));
        end = next;
    }
    std::string events = m_pending.substr(0, end);
    m_pending.erase(0, end);
    return events;
}

void event_splitter::recordEvent(std::string_view event)
{
    ++m_eventCount;
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (!line.starts_with("id:"))
            continue;
        line.remove_prefix(3);
        while (line.starts_with(' '))
            line.remove_prefix(1);
        while (line.ends_with('\r'))
            line.remove_suffix(1);
        m_lastEventId = std::string(line);
    }
}

}
