#include "bench/model/fifo_queue.h"

#include <algorithm>

namespace sardinelb::bench {

fifo_queue::fifo_queue(std::uint32_t slots)
    : m_slots(slots)
{
}

refusal_reason fifo_queue::admit(const queued_request& request)
{
    m_waiting.push_back(request);
    m_backlog += request.cost.completionTokens.value();
    return refusal_reason::None;
}

std::vector<queue_action> fifo_queue::poll()
{
    std::vector<queue_action> actions;
    while (m_running.size() < m_slots && !m_waiting.empty()) {
        const queued_request& next = m_waiting.front();
        actions.push_back({ queue_action_kind::Dispatch, next.attempt, 0, refusal_reason::None });
        m_running.emplace(next.attempt, next.cost.completionTokens.value());
        m_waiting.pop_front();
    }
    return actions;
}

void fifo_queue::onAttemptProgress(const attempt_id& attempt, token_count tokens)
{
    const auto found = m_running.find(attempt);
    if (found == m_running.end())
        return;
    const std::int64_t done = std::min(found->second, tokens.value());
    found->second -= done;
    m_backlog -= done;
}

void fifo_queue::onAttemptFinished(const attempt_id& attempt)
{
    const auto found = m_running.find(attempt);
    if (found == m_running.end())
        return;
    m_backlog -= found->second;
    m_running.erase(found);
}

bool fifo_queue::remove(const attempt_id& attempt)
{
    const auto found = std::find_if(
        m_waiting.begin(), m_waiting.end(), [&](const queued_request& request) { return request.attempt == attempt; });
    if (found == m_waiting.end())
        return false;
    m_backlog -= found->cost.completionTokens.value();
    m_waiting.erase(found);
    return true;
}

}
