#include "serving/event_splitter.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace sardinelb {

namespace {

constexpr std::size_t maxKeptBytes = 16384;

constexpr const char* lineEndCharacters = "\r\n";

// Fields of an event. Others are permitted beside them.
constexpr std::array<std::string_view, 4> eventFields { "id", "data", "event", "retry" };

bool isFieldNameCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '-' || character == '_';
}

// Removes the first line from `text` and returns it without its end.
std::string_view takeLine(std::string_view& text)
{
    const std::size_t end = text.find('\n');
    std::string_view line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    return line;
}

std::string_view valueOf(std::string_view line, std::size_t nameLength)
{
    line.remove_prefix(std::min(nameLength + 1, line.size()));
    while (line.starts_with(' '))
        line.remove_prefix(1);
    return line;
}

std::optional<std::uint64_t> readEventNumber(std::string_view id)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(id.data(), id.data() + id.size(), number);
    if (error != std::errc {} || end != id.data() + id.size())
        return std::nullopt;
    return number;
}

}

void event_splitter::resumeAfter(std::string_view eventId)
{
    m_lastNumber = readEventNumber(eventId);
}

bool event_splitter::hasPartialEvent() const
{
    // Blank lines after an event are part of none.
    return m_pending.find_first_not_of(lineEndCharacters) != std::string::npos;
}

void event_splitter::dropPartialEvent()
{
    std::string().swap(m_pending);
    m_isMalformed = false;
}

void event_splitter::add(std::string_view bytes)
{
    m_pending.append(bytes);
}

std::string event_splitter::takeEvents()
{
    std::size_t end = 0;
    while (!m_isMalformed) {
        const std::size_t next = findEventEnd(end);
        if (next == std::string::npos)
            break;
        if (!acceptEvent(std::string_view(m_pending).substr(end, next - end))) {
            m_isMalformed = true;
            break;
        }
        end = next;
    }
    std::string events = m_pending.substr(0, end);
    m_pending.erase(0, end);
    // A long event would otherwise keep its memory until the stream ends.
    if (m_pending.empty() && m_pending.capacity() > maxKeptBytes)
        m_pending.shrink_to_fit();
    return events;
}

std::size_t event_splitter::findEventEnd(std::size_t begin) const
{
    const std::size_t firstLine = m_pending.find_first_not_of(lineEndCharacters, begin);
    if (firstLine == std::string::npos)
        return firstLine;
    // A blank line ends an event; each line may end with LF or CRLF.
    std::size_t lineEnd = m_pending.find('\n', firstLine);
    while (lineEnd != std::string::npos) {
        const std::size_t next = lineEnd + 1;
        if (m_pending.compare(next, 1, "\n") == 0)
            return next + 1;
        if (m_pending.compare(next, 2, "\r\n") == 0)
            return next + 2;
        lineEnd = m_pending.find('\n', next);
    }
    return std::string::npos;
}

bool event_splitter::acceptEvent(std::string_view event)
{
    bool hasEventField = false;
    std::optional<std::string_view> id;
    while (!event.empty()) {
        const std::string_view line = takeLine(event);
        if (line.empty())
            continue;
        const std::size_t nameLength = std::min(line.find(':'), line.size());
        const std::string_view name = line.substr(0, nameLength);
        if (!std::all_of(name.begin(), name.end(), isFieldNameCharacter))
            return false;
        // A line without a name is a comment.
        hasEventField = hasEventField || name.empty() || std::find(eventFields.begin(), eventFields.end(), name) != eventFields.end();
        if (name == "id")
            id = valueOf(line, nameLength);
    }
    if (!hasEventField || (id && !acceptId(*id)))
        return false;
    ++m_eventCount;
    return true;
}

bool event_splitter::acceptId(std::string_view id)
{
    const auto number = readEventNumber(id);
    if (m_lastNumber && (!number || *number <= *m_lastNumber))
        return false;
    m_lastNumber = number;
    m_lastEventId = std::string(id);
    return true;
}

}
