#pragma once

#include "state/time.h"
#include "tests/fakes/event_queue.h"

#include <cstdint>
#include <deque>
#include <functional>

namespace sardinelb::fakes {

// A simulated process that can be killed, started again and paused. Input that arrives during a pause is handled
// afterwards.
class process_host {
public:
    // What a process handles first after a pause. Both orders occur in a real process.
    enum class wake_order {
        Tick,
        Input,
    };

    explicit process_host(event_queue&);
    virtual ~process_host() = default;
    process_host(const process_host&) = delete;
    process_host& operator=(const process_host&) = delete;

    // Passes input to the process. Input for a dead process is lost.
    void deliver(std::function<void()>);

    // Like deliver(), for input to one lifetime of the process.
    void deliverTo(std::uint64_t lifetime, std::function<void()>);

    void start();
    void kill();
    void pause();
    void resume(wake_order);

    bool isAlive() const { return m_alive; }
    bool isPaused() const { return m_paused; }
    bool isRunning() const { return m_alive && !m_paused; }
    // Number of the current lifetime, which serves as the incarnation.
    std::uint64_t lifetime() const { return m_lifetime; }
    // Number of pauses so far.
    std::uint64_t pauses() const { return m_pauses; }

protected:
    // Creates the state of a new lifetime.
    virtual void reset() = 0;
    virtual void tick() = 0;
    // Carries out the actions of the core. Stops when one of them kills or pauses the process.
    virtual void flush() = 0;
    // Whether any work is in flight. An idle process gets fewer ticks.
    virtual bool isBusy() const = 0;

    event_queue& m_events;

private:
    void run(const std::function<void()>&);
    void scheduleTick(duration);

    bool m_alive = false;
    bool m_paused = false;
    std::uint64_t m_lifetime = 0;
    std::uint64_t m_pauses = 0;
    std::uint64_t m_tickNumber = 0;
    time_point m_nextTick {};
    std::deque<std::function<void()>> m_backlog;
};

}
