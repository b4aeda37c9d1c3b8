#include "serving/retry_budget_share.h"

#include <algorithm>

namespace sardinelb {

namespace {

// The rest is reserved for entries that start or that the others have not discovered yet.
constexpr double usedSlackFraction = 0.7;

// Even twenty entries that start within one window stay within the reserved rest.
constexpr double newEntrySlackFraction = 1.0 / 64;

}

retry_budget_share::retry_budget_share(settings values, time_point startedAt)
    : m_settings(values)
    , m_startedAt(startedAt)
{
}

void retry_budget_share::onRequest(time_point now)
{
    m_requests.push_back(now);
    dropExpired(now);
}

bool retry_budget_share::canRetry(std::size_t recentEntries, time_point now)
{
    dropExpired(now);
    const bool isNewEntry = now - m_startedAt < m_settings.window;
    const double slackFraction = isNewEntry ? newEntrySlackFraction : usedSlackFraction / static_cast<double>(std::max<std::size_t>(recentEntries, 1));
    const double slack = m_settings.slack * slackFraction;
    const double allowed = m_settings.ratio * static_cast<double>(m_requests.size()) + slack;
    return static_cast<double>(m_retries.size() + m_reservedRetries) + 1 <= allowed;
}

void retry_budget_share::onRetrySent(time_point now)
{
    --m_reservedRetries;
    m_retries.push_back(now);
}

void retry_budget_share::dropExpired(time_point now)
{
    const time_point start = now - m_settings.window;
    while (!m_requests.empty() && m_requests.front() < start)
        m_requests.pop_front();
    while (!m_retries.empty() && m_retries.front() < start)
        m_retries.pop_front();
}

}
