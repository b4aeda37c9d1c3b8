#include "coordination/agent/attempt_table.h"

namespace sardinelb {

tracked_attempt& attempt_table::add(const queued_request& request, time_point now)
{
    tracked_attempt& attempt = m_attempts[request.attempt];
    attempt.request = request;
    attempt.sequence = m_nextSequence++;
    attempt.admittedAt = now;
    attempt.idleSince = now;
    m_idle.push_back(&attempt);
    ++m_waiting;
    return attempt;
}

tracked_attempt* attempt_table::find(const attempt_id& attempt)
{
    const auto found = m_attempts.find(attempt);
    return found == m_attempts.end() ? nullptr : &found->second;
}

void attempt_table::start(tracked_attempt& attempt)
{
    if (attempt.phase == attempt_phase::Waiting)
        --m_waiting;
    std::erase(m_idle, &attempt);
    m_running.push_back(&attempt);
    attempt.phase = attempt_phase::Running;
    attempt.hasProgress = false;
}

void attempt_table::pause(tracked_attempt& attempt, time_point now)
{
    std::erase(m_running, &attempt);
    m_idle.push_back(&attempt);
    attempt.phase = attempt_phase::Paused;
    attempt.idleSince = now;
}

void attempt_table::erase(tracked_attempt& attempt)
{
    if (attempt.phase == attempt_phase::Waiting)
        --m_waiting;
    std::erase(attempt.phase == attempt_phase::Running ? m_running : m_idle, &attempt);
    const attempt_id id = attempt.request.attempt;
    m_attempts.erase(id);
}

std::int64_t attempt_table::remainingTokens() const
{
    std::int64_t tokens = 0;
    for (const auto& [id, attempt] : m_attempts)
        tokens += sardinelb::remainingTokens(attempt);
    return tokens;
}

}
