#include "coordination/routing/runner_load.h"

#include <algorithm>
#include <chrono>

namespace sardinelb {

namespace {

using namespace std::chrono_literals;

// A report that arrives within this time after an attempt was sent may predate the agent's receipt of the attempt.
// Covers twice the round trip of a few milliseconds between zones, and some queueing.
constexpr duration maxReportDelay = 5ms;

}

void runner_load::onReport(const load_report& report, time_point now)
{
    m_report = report;
    m_reportedAt = now;
    m_endedTokens = 0;
    m_endedRequests = 0;
    m_unreportedTokens = 0;
    m_unreportedRequests = 0;
    for (auto& [id, attempt] : m_own) {
        attempt.inReport = attempt.startedAt + maxReportDelay <= now;
        if (attempt.inReport)
            continue;
        m_unreportedTokens += attempt.tokens;
        m_unreportedRequests += 1;
    }
}

void runner_load::onAttemptStarted(const attempt_id& id, const request_cost& cost, time_point now)
{
    const auto tokens = static_cast<double>(cost.completionTokens.value());
    if (!m_own.try_emplace(id, own_attempt { tokens, now, false }).second)
        return;
    m_unreportedTokens += tokens;
    m_unreportedRequests += 1;
}

void runner_load::onAttemptFinished(const attempt_id& id, time_point now)
{
    const auto found = m_own.find(id);
    if (found == m_own.end())
        return;
    if (found->second.inReport) {
        subtractFromReport(found->second, now);
    } else {
        m_unreportedTokens -= found->second.tokens;
        m_unreportedRequests -= 1;
    }
    m_own.erase(found);
}

void runner_load::forgetReport()
{
    m_report = load_report {};
    m_endedTokens = 0;
    m_endedRequests = 0;
    m_unreportedTokens = 0;
    m_unreportedRequests = 0;
    for (auto& [id, attempt] : m_own) {
        attempt.inReport = false;
        m_unreportedTokens += attempt.tokens;
        m_unreportedRequests += 1;
    }
}

double runner_load::tokensPerSlot() const
{
    const auto backlog = static_cast<double>(m_report.backlog.value());
    const double tokens = std::max(0.0, backlog - m_endedTokens) + std::max(0.0, m_unreportedTokens);
    return tokens / std::max(1U, m_report.slots);
}

double runner_load::occupancy() const
{
    const double reported = static_cast<double>(m_report.queued) + static_cast<double>(m_report.running);
    const double requests = std::max(0.0, reported - m_endedRequests) + std::max(0.0, m_unreportedRequests);
    return requests / std::max(1U, m_report.slots);
}

void runner_load::subtractFromReport(const own_attempt& attempt, time_point now)
{
    // The report sent with the end of the attempt no longer includes it.
    if (now - m_reportedAt <= maxReportDelay)
        return;
    const auto sinceReport = static_cast<double>((now - m_reportedAt).count());
    const auto sinceStart = static_cast<double>(std::max<duration::rep>(1, (now - attempt.startedAt).count()));
    // Assumes that tokens are generated at a constant rate over the attempt.
    m_endedTokens += attempt.tokens * std::min(1.0, sinceReport / sinceStart);
    m_endedRequests += 1;
}

}
