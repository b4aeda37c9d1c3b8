#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sardinelb {

// Splits the body of a text/event-stream response into complete events. Only complete events reach the caller, so that a
// resumed stream can continue after the last one.
class event_splitter {
public:
    // Appends received bytes.
    void add(std::string_view bytes);

    // Removes and returns all complete events, with the blank lines that end them; empty if there is none.
    std::string takeEvents();

    // Last event id in what takeEvents() has returned. Empty if there was none.
    const std::string& lastEventId() const { return m_lastEventId; }

    // Events that takeEvents() has returned.
    std::uint64_t eventCount() const { return m_eventCount; }

    // Whether an incomplete event is buffered.
    bool hasPartialEvent() const { return !m_pending.empty(); }

    std::size_t pendingBytes() const { return m_pending.size(); }

    // Discards an incomplete event, before the stream resumes on another runner.
    void dropPartialEvent() { m_pending = {}; }

private:
    void recordEvent(std::string_view event);

    std::string m_pending;
    std::string m_lastEventId;
    std::uint64_t m_eventCount = 0;
};

}
