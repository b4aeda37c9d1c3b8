#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sardinelb {

// Splits the body of a text/event-stream response into complete events. Only complete events reach the caller, so that a
// resumed stream can continue after the last one. An event has at least one field of the format (id, data, event, retry) or a
// comment, its lines begin with field names in lower case, and its id, if any, is above all earlier ones if these are numbers.
class event_splitter {
public:
    // Sets the id of the last event that the caller already has, when it resumes a stream itself. Ignored if it is no number.
    void resumeAfter(std::string_view eventId);

    // Appends received bytes.
    void add(std::string_view bytes);

    // Removes and returns all complete events up to the first that is malformed, with the blank lines that end them; empty if
    // there is none.
    std::string takeEvents();

    // Last event id in what takeEvents() has returned. Empty if there was none.
    const std::string& lastEventId() const { return m_lastEventId; }

    // Events that takeEvents() has returned.
    std::uint64_t eventCount() const { return m_eventCount; }

    // Whether takeEvents() has met bytes that are no event, or an event whose id does not rise. It then returns no more events
    // until dropPartialEvent() is called.
    bool isMalformed() const { return m_isMalformed; }

    // Whether an incomplete or malformed event is buffered.
    bool hasPartialEvent() const;

    std::size_t pendingBytes() const { return m_pending.size(); }

    // Discards an incomplete or malformed event, before the stream resumes on another runner.
    void dropPartialEvent();

private:
    std::size_t findEventEnd(std::size_t begin) const;
    bool acceptEvent(std::string_view event);
    bool acceptId(std::string_view id);

    std::string m_pending;
    std::string m_lastEventId;
    // Number of the last event id. Nothing if there was none, or if it was no number.
    std::optional<std::uint64_t> m_lastNumber;
    std::uint64_t m_eventCount = 0;
    bool m_isMalformed = false;
};

}
