#include "serving/retry_budget_share.h"

#include <algorithm>

namespace sardinelb {

namespace {

// The rest is kept for entries that start or that others have not heard of yet.
constexpr double usedPartOfSlack = 0.7;

// Twenty entries that start in one window still stay within the rest.
constexpr double partOfNewEntry = 1.0 / 64;

}

retry_budget_share::retry_budget_share(settings values, time_point startedAt)
    : m_settings(values)
    , m_startedAt(startedAt)
{
}

void retry_budget_share::onRequest(time_point now)
{
    m_requests.push_back(now);
    forget(now);
}

bool retry_budget_share::canRetry(std::size_t entriesAlive, time_point now)
{
    forget(now);
    const bool isNew = now - m_startedAt < m_settings.window;
    const double part = isNew ? partOfNewEntry : usedPartOfSlack / static_cast<double>(std::max<std::size_t>(entriesAlive, 1));
    const double slack = m_settings.slack * part;
    const double allowed = m_settings.ratio * static_cast<double>(m_requests.size()) + slack;
    return static_cast<double>(m_retries.size()) + 1 <= allowed;
}

void retry_budget_share::recordRetry(time_point now)
{
    m_retries.push_back(now);
}

void retry_budget_share::forget(time_point now)
{
    const time_point start = now - m_settings.window;
    while (!m_requests.empty() && m_requests.front() < start)
        m_requests.pop_front();
    while (!m_retries.empty() && m_retries.front() < start)
        m_retries.pop_front();
}

}
