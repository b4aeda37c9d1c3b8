#include "serving/recent_maximum.h"

namespace sardinelb {

recent_maximum::recent_maximum(duration window)
    : m_window(window)
{
}

void recent_maximum::add(std::size_t value, time_point now)
{
    while (!m_samples.empty() && m_samples.back().value <= value)
        m_samples.pop_back();
    m_samples.push_back({ value, now });
    while (now - m_samples.front().at > m_window)
        m_samples.pop_front();
}

std::size_t recent_maximum::value() const
{
    return m_samples.empty() ? 0 : m_samples.front().value;
}

}
