#include "coordination/queueing/start_forecast.h"

namespace sardinelb {

start_forecast::start_forecast(std::uint32_t slots, time_point now)
    : m_freeAt(std::greater<>(), std::vector<time_point>(slots, now))
{
}

void start_forecast::occupy(time_point until) { occupyFirstFree(until); }

time_point start_forecast::nextStart() const { return m_freeAt.empty() ? time_point::max() : m_freeAt.top(); }

void start_forecast::start(duration service) { occupyFirstFree(nextStart() + service); }

void start_forecast::occupyFirstFree(time_point until)
{
    if (m_freeAt.empty())
        return;
    m_freeAt.pop();
    m_freeAt.push(until);
}

}
