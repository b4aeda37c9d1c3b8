#include "tests/fakes/fake_runner.h"

#include "tests/fakes/expected_answer.h"

#include <chrono>

namespace sardinelb::fakes {

namespace {

using namespace std::chrono_literals;

constexpr duration connectTime = 1ms;
constexpr duration tokenInterval = 5ms;
constexpr duration serviceTime = 60ms;
// How often a stalled call looks whether it may go on.
constexpr duration stallCheck = 50ms;

}

fake_runner::fake_runner(event_queue& events)
    : m_events(events)
{
}

void fake_runner::start(const start_call_action& action, call_hooks hooks)
{
    const call_key key(action.submit.attempt, action.call);
    const time_point dispatchedAt = m_events.now();
    m_calls[key] = { action, std::move(hooks), action.submit.resumeFrom, false };
    m_events.after(connectTime, [this, key, dispatchedAt] {
        const auto found = m_calls.find(key);
        if (found == m_calls.end())
            return;
        const call_hooks reported = found->second.hooks;
        if (m_refusing) {
            m_calls.erase(found);
            reported.failed(call_failure::NotExecuted);
            return;
        }
        m_executions.push_back({ key.first, key.second, dispatchedAt });
        found->second.begun = true;
        if (std::exchange(m_breakNext, false)) {
            m_calls.erase(found);
            reported.failed(call_failure::Broken);
            return;
        }
        later(key, found->second.action.submit.kind == pool_kind::Service ? serviceTime : tokenInterval);
    });
}

void fake_runner::stop(const attempt_id& attempt, std::uint32_t call) { m_calls.erase({ attempt, call }); }

void fake_runner::breakCalls()
{
    std::vector<call_hooks> broken;
    std::erase_if(m_calls, [&](const auto& item) {
        if (item.second.begun)
            broken.push_back(item.second.hooks);
        return item.second.begun;
    });
    m_breakNext = broken.empty() || !m_calls.empty();
    for (const call_hooks& hooks : broken)
        hooks.failed(call_failure::Broken);
}

void fake_runner::later(const call_key& key, duration delay)
{
    m_events.after(delay * m_slowness, [this, key] { proceed(key); });
}

void fake_runner::proceed(const call_key& key)
{
    const auto found = m_calls.find(key);
    if (found == m_calls.end())
        return;
    if (m_stalled) {
        m_events.after(stallCheck, [this, key] { proceed(key); });
        return;
    }
    running_call& call = found->second;
    const submit_message& request = call.action.submit;
    const call_hooks hooks = call.hooks;
    if (request.kind == pool_kind::Service) {
        const std::string body = request.body;
        m_calls.erase(found);
        hooks.answered(expectedServiceAnswer(body));
        return;
    }
    if (call.nextToken >= request.maxTokens) {
        m_calls.erase(found);
        hooks.completed();
        return;
    }
    const std::uint32_t index = call.nextToken++;
    later(key, tokenInterval);
    hooks.token(index, expectedToken(request.body, index));
}

}
