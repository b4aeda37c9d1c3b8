#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>

namespace sardinelb {

// Lets a test wait for events on another thread. Also guards the values that both threads use.
class event_wait {
public:
    // Runs the update under the lock and wakes up the waiting test.
    void change(const std::function<void()>& update)
    {
        const std::lock_guard lock(m_mutex);
        update();
        m_changed.notify_all();
    }

    // Waits until the condition holds. Returns false after a timeout that only ends a stuck test.
    bool until(const std::function<bool()>& condition)
    {
        constexpr std::chrono::seconds stuck(30);
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, stuck, condition);
    }

    // Reads a guarded value.
    template <typename T>
    T read(const T& value)
    {
        const std::lock_guard lock(m_mutex);
        return value;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
};

}
