#include "tests/stand_ins/batch_scheduler.h"

#include <algorithm>

namespace sardinelb::stand_ins {

batch_scheduler::batch_scheduler(batch_settings settings)
    : m_settings(settings)
    , m_cache(settings.kvCapacity)
{
}

batch_scheduler::submit_result batch_scheduler::submit(const generation_request& request)
{
    if (isKnownId(request.id))
        return submit_result::DuplicateId;
    if (requiredKvTokens(request) > m_settings.kvCapacity)
        return submit_result::TooLarge;
    m_waiting.emplace(std::pair(request.priority, m_submittedCount++), request);
    return submit_result::Accepted;
}

bool batch_scheduler::cancel(const std::string& id)
{
    for (auto waiting = m_waiting.begin(); waiting != m_waiting.end(); ++waiting) {
        if (waiting->second.id == id) {
            m_waiting.erase(waiting);
            return true;
        }
    }
    for (std::size_t position = 0; position < m_running.size(); ++position) {
        if (m_running[position].request.id == id) {
            removeRunning(position);
            return true;
        }
    }
    return false;
}

std::vector<generation_event> batch_scheduler::poll(time_point now)
{
    std::vector<generation_event> events;
    startWaitingStreams(now);
    std::size_t position = 0;
    while (position < m_running.size()) {
        if (generateDueToken(m_running[position], now, events))
            removeRunning(position);
        else
            ++position;
    }
    startWaitingStreams(now);
    return events;
}

std::optional<time_point> batch_scheduler::nextDeadline() const
{
    std::optional<time_point> earliest;
    for (const auto& stream : m_running) {
        if (!earliest || stream.nextTokenAt < *earliest)
            earliest = stream.nextTokenAt;
    }
    return earliest;
}

engine_load batch_scheduler::load() const
{
    auto used = m_cache.usedTokens();
    for (const auto& stream : m_running)
        used += stream.promptTokens + stream.nextIndex;
    return { m_running.size(), m_waiting.size(), used, m_settings.kvCapacity };
}

std::uint64_t batch_scheduler::requiredKvTokens(const generation_request& request)
{
    return promptTokenCount(request.prompt) + request.maxTokens;
}

bool batch_scheduler::isKnownId(const std::string& id) const
{
    const auto isWaiting = [&id](const auto& entry) { return entry.second.id == id; };
    const auto isRunning = [&id](const running_stream& stream) { return stream.request.id == id; };
    return std::any_of(m_waiting.begin(), m_waiting.end(), isWaiting)
        || std::any_of(m_running.begin(), m_running.end(), isRunning);
}

void batch_scheduler::startWaitingStreams(time_point now)
{
    while (!m_waiting.empty() && m_running.size() < m_settings.slots) {
        const auto first = m_waiting.begin();
        if (m_reservedTokens + requiredKvTokens(first->second) > m_settings.kvCapacity)
            return;
        start(first->second, now);
        m_waiting.erase(first);
    }
}

void batch_scheduler::start(const generation_request& request, time_point now)
{
    const auto promptTokens = promptTokenCount(request.prompt);
    const auto cached = m_cache.cachedTokens(request.prompt);
    const auto computed = static_cast<double>(promptTokens - cached + request.resumeFrom);
    const std::chrono::duration<double, std::milli> prefill(computed / m_settings.promptTokensPerMillisecond);
    const auto firstTokenAt = now + scaled(std::chrono::duration_cast<duration>(prefill));
    m_running.push_back({ request, token_text(request.prompt, request.seed), promptTokens, request.resumeFrom, firstTokenAt });
    ++m_startCounts[request.id];
    m_reservedTokens += requiredKvTokens(request);
    // KV cache that running streams reserve is taken from cached prefixes.
    recordCacheChanges(m_cache.setCapacity(m_settings.kvCapacity - m_reservedTokens));
    recordCacheChanges(m_cache.store(request.prompt));
}

void batch_scheduler::recordCacheChanges(const std::vector<cache_change>& changes)
{
    m_cacheChanges.insert(m_cacheChanges.end(), changes.begin(), changes.end());
}

bool batch_scheduler::generateDueToken(running_stream& stream, time_point now, std::vector<generation_event>& events) const
{
    const auto& request = stream.request;
    if (stream.nextTokenAt <= now && stream.nextIndex < request.maxTokens) {
        events.push_back({ .id = request.id, .index = stream.nextIndex, .token = stream.text.token(stream.nextIndex) });
        ++stream.nextIndex;
        // A poll that is late by more than an interval does not catch up on the tokens that it missed.
        stream.nextTokenAt += scaled(m_settings.tokenInterval);
        if (stream.nextTokenAt <= now)
            stream.nextTokenAt = now + scaled(m_settings.tokenInterval);
    }
    if (stream.nextIndex < request.maxTokens)
        return false;
    generation_event done;
    done.kind = generation_event_kind::Done;
    done.id = request.id;
    done.promptTokens = stream.promptTokens;
    done.completionTokens = request.maxTokens - request.resumeFrom;
    events.push_back(done);
    return true;
}

void batch_scheduler::removeRunning(std::size_t position)
{
    m_reservedTokens -= requiredKvTokens(m_running[position].request);
    m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(position));
    recordCacheChanges(m_cache.setCapacity(m_settings.kvCapacity - m_reservedTokens));
}

duration batch_scheduler::scaled(duration time) const
{
    return duration(static_cast<duration::rep>(static_cast<double>(time.count()) * m_slowdown));
}

}
