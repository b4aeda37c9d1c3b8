#include "tests/fakes/process_host.h"

#include <chrono>
#include <utility>

namespace sardinelb::fakes {

namespace {

using namespace std::chrono_literals;

constexpr duration busyTick = 10ms;
// While nothing is in flight, no test depends on the exact times of ticks.
constexpr duration idleTick = 500ms;
// After this time, only calls that outlast their caller are in flight, and coarser ticks save computing time.
constexpr time_point coarseTicksFrom(30s);
constexpr duration coarseBusyTick = 200ms;
// At most the gap between events that an agent takes for a pause of its process (2 s).
constexpr duration coarseIdleTick = 2s;

}

process_host::process_host(event_queue& events)
    : m_events(events)
{
}

void process_host::deliver(std::function<void()> input)
{
    if (!m_alive)
        return;
    if (m_paused)
        m_backlog.push_back(std::move(input));
    else
        run(input);
}

void process_host::deliverTo(std::uint64_t lifetime, std::function<void()> input)
{
    if (lifetime == m_lifetime)
        deliver(std::move(input));
}

void process_host::run(const std::function<void()>& input)
{
    input();
    flush();
    const duration interval = m_events.now() < coarseTicksFrom ? busyTick : coarseBusyTick;
    if (isBusy() && m_nextTick > m_events.now() + interval)
        scheduleTick(interval);
}

void process_host::scheduleTick(duration delay)
{
    m_nextTick = m_events.now() + delay;
    m_events.after(delay, [this, number = ++m_tickNumber] {
        if (number != m_tickNumber || !isRunning())
            return;
        m_nextTick = time_point::max();
        run([this] { tick(); });
        if (m_nextTick == time_point::max() && isRunning())
            scheduleTick(m_events.now() < coarseTicksFrom ? idleTick : coarseIdleTick);
    });
}

void process_host::start()
{
    m_alive = true;
    m_paused = false;
    m_backlog.clear();
    ++m_lifetime;
    reset();
    scheduleTick(busyTick);
}

void process_host::kill()
{
    m_alive = false;
    m_paused = false;
    m_backlog.clear();
}

void process_host::pause()
{
    if (!isRunning())
        return;
    m_paused = true;
    ++m_pauses;
}

void process_host::resume(wake_order order)
{
    if (!m_alive || !m_paused)
        return;
    m_paused = false;
    flush();
    if (order == wake_order::Tick)
        run([this] { tick(); });
    scheduleTick(busyTick);
    while (isRunning() && !m_backlog.empty()) {
        const std::function<void()> input = std::move(m_backlog.front());
        m_backlog.pop_front();
        run(input);
    }
}

}
