#include "tests/stand_ins/cache_event_feed.h"

#include <algorithm>

namespace sardinelb::stand_ins {

namespace {

// Bounds the history. A reader that falls behind sees the dropped events as a gap in the numbers.
constexpr std::size_t maxEvents = 20'000;

}

cache_event_feed::cache_event_feed(duration delay, double lossProbability, std::uint64_t seed)
    : m_delay(delay)
    , m_isLost(lossProbability)
    , m_random(seed)
{
}

void cache_event_feed::add(const cache_change& change, time_point now)
{
    ++m_lastNumber;
    if (m_isLost(m_random))
        return;
    m_events.push_back({ m_lastNumber, now + m_delay, change });
    if (m_events.size() > maxEvents)
        m_events.pop_front();
}

std::vector<cache_event_feed::event> cache_event_feed::eventsAfter(std::uint64_t number, time_point now) const
{
    const auto isOld = [number](const event& known) { return known.number <= number; };
    std::vector<event> found;
    auto position = std::partition_point(m_events.begin(), m_events.end(), isOld);
    while (position != m_events.end() && position->visibleAt <= now)
        found.push_back(*position++);
    return found;
}

}
