#pragma once

#include "state/time.h"

#include <deque>
#include <utility>

namespace sardinelb::stand_ins {

// A value whose readers see changes only after a fixed lag. The times passed in must not decrease.
template <typename Value>
class lagging_value {
public:
    lagging_value(duration lag, Value initial)
        : m_lag(lag)
    {
        m_history.push_back({ time_point::min(), std::move(initial) });
    }

    void set(Value value, time_point now)
    {
        discardExpired(now);
        m_history.push_back({ now, std::move(value) });
    }

    // Returns the latest value set at or before `now` minus the lag.
    const Value& get(time_point now)
    {
        discardExpired(now);
        return m_history.front().value;
    }

private:
    struct entry {
        time_point since;
        Value value;
    };

    // Drops the values that readers can no longer see.
    void discardExpired(time_point now)
    {
        while (m_history.size() > 1 && m_history[1].since + m_lag <= now)
            m_history.pop_front();
    }

    duration m_lag;
    std::deque<entry> m_history;
};

}
