#pragma once

#include "state/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace sardinelb {

// Event queue of a simulation: runs callbacks in order of virtual time, and in order of insertion at equal times.
class virtual_schedule {
public:
    time_point now() const { return m_now; }

    void at(time_point when, std::function<void()> callback)
    {
        m_callbacks.emplace(std::pair(std::max(when, m_now), m_sequence++), std::move(callback));
    }

    void after(duration delay, std::function<void()> callback) { at(m_now + delay, std::move(callback)); }

    // Advances the time to the next callback and runs it. Returns false if there is none.
    bool runNext()
    {
        if (m_callbacks.empty())
            return false;
        auto next = m_callbacks.extract(m_callbacks.begin());
        m_now = next.key().first;
        next.mapped()();
        return true;
    }

private:
    time_point m_now {};
    std::uint64_t m_sequence = 0;
    std::map<std::pair<time_point, std::uint64_t>, std::function<void()>> m_callbacks;
};

}
