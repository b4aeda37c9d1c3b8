#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sardinelb {

// Cuts the body of an event stream into whole events, so that a part of an event never reaches the caller and a resumed
// stream continues after the last whole one.
class event_splitter {
public:
    // Adds bytes as they arrive.
    void add(std::string_view bytes);

    // Takes all whole events that have arrived, with the blank lines that end them; empty if there is none.
    std::string takeEvents();

    // Id of the last event that takeEvents() has returned, as the runner wrote it. Empty if there was none.
    const std::string& lastEventId() const { return m_lastEventId; }

    // Events returned so far.
    std::uint64_t eventCount() const { return m_eventCount; }

    // Whether an event has begun that has not ended.
    bool hasPartialEvent() const { return !m_pending.empty(); }

    // Forgets a partial event, before the stream continues at another runner.
    void dropPartialEvent() { m_pending.clear(); }

private:
    void recordEvent(std::string_view event);

    std::string m_pending;
    std::string m_lastEventId;
    std::uint64_t m_eventCount = 0;
};

}
