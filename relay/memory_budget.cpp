#include "relay/memory_budget.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace sardinelb {

namespace {

// A request or an idle connection without progress for this long gives way first.
constexpr duration receiveStallTime = std::chrono::seconds(1);

// The same for a response that its caller does not read.
constexpr duration sendStallTime = std::chrono::seconds(2);

// An eighth of the memory is kept for connections that use little, so that ordinary requests pass beside large ones.
constexpr std::size_t smallConnectionBytes = 131072;
constexpr std::size_t smallShareDivisor = 8;

// Part of the free memory that may wait for one slow reader, and its bounds.
constexpr std::size_t unsentShareDivisor = 128;
constexpr std::size_t minUnsentBytes = 8192;
constexpr std::size_t maxUnsentBytesOfOne = 262144;

constexpr std::size_t memoryShareDivisor = 2;
// Room for one request and one response at the limits.
constexpr std::size_t minCallerBytes = 33554432;

// Descriptors that the platform keeps for files.
constexpr std::size_t fileDescriptors = 200;
constexpr std::size_t otherSocketsDivisor = 4;
constexpr std::size_t minConnections = 16;

}

memory_limits callerLimitsFor(std::size_t machineBytes, std::size_t machineDescriptors)
{
    const std::size_t sockets = machineDescriptors - std::min(machineDescriptors, fileDescriptors);
    return { std::max(machineBytes / memoryShareDivisor, minCallerBytes), std::max(sockets - sockets / otherSocketsDivisor, minConnections) };
}

std::size_t memory_budget::connection::totalBytes() const
{
    return std::accumulate(bytes.begin(), bytes.end(), std::size_t {});
}

memory_budget::memory_budget(memory_limits limits)
    : m_limits(limits)
{
}

bool memory_budget::admit(time_point now)
{
    if (m_connections.size() < m_limits.connections)
        return true;
    // The one that has been idle for longest is first, and idle ones go before stalled requests.
    handle chosen = m_connections.end();
    for (handle one = m_connections.begin(); one != m_connections.end(); ++one) {
        const bool isCandidate = !one->isEvicted && one->currentStage == stage::Idle && now - one->progressAt >= receiveStallTime;
        if (isCandidate && (chosen == m_connections.end() || one->progressAt < chosen->progressAt))
            chosen = one;
    }
    eviction_reason reason = eviction_reason::Idle;
    if (chosen == m_connections.end()) {
        chosen = findStalled(m_connections.end(), now);
        reason = eviction_reason::Stalled;
    }
    if (chosen != m_connections.end())
        evict(chosen, reason);
    return m_connections.size() < m_limits.connections;
}

memory_budget::handle memory_budget::open(eviction_handler onEvicted, time_point now)
{
    connection opened;
    opened.onEvicted = std::move(onEvicted);
    opened.progressAt = now;
    return m_connections.insert(m_connections.end(), std::move(opened));
}

void memory_budget::close(handle closed)
{
    for (int use = 0; use < memoryUses; ++use)
        setBytes(closed, static_cast<memory_use>(use), 0);
    m_connections.erase(closed);
}

void memory_budget::enter(handle one, stage next, time_point now)
{
    one->currentStage = next;
    one->progressAt = now;
}

void memory_budget::recordProgress(handle one, time_point now)
{
    one->progressAt = now;
}

bool memory_budget::reserve(handle requester, memory_use use, std::size_t bytes, time_point now)
{
    const std::size_t before = requester->bytes[static_cast<std::size_t>(use)];
    if (bytes > before) {
        const std::size_t added = bytes - before;
        const std::size_t requesterBytes = requester->totalBytes() + added;
        while (m_usedBytes + added > limitFor(requesterBytes)) {
            if (!evictOne(requester, requesterBytes, now))
                return false;
        }
    }
    setBytes(requester, use, bytes);
    return true;
}

void memory_budget::charge(handle user, memory_use use, std::size_t bytes, time_point now)
{
    const bool isGrowing = bytes > user->bytes[static_cast<std::size_t>(use)];
    setBytes(user, use, bytes);
    while (isGrowing && !m_isEvicting && m_usedBytes > m_limits.bytes) {
        if (!evictOne(user, user->totalBytes(), now))
            break;
    }
}

std::size_t memory_budget::maxUnsentBytes() const
{
    const std::size_t free = m_limits.bytes - std::min(m_limits.bytes, m_usedBytes);
    return std::clamp(free / unsentShareDivisor, minUnsentBytes, maxUnsentBytesOfOne);
}

std::size_t memory_budget::limitFor(std::size_t connectionBytes) const
{
    return connectionBytes > smallConnectionBytes ? m_limits.bytes - m_limits.bytes / smallShareDivisor : m_limits.bytes;
}

memory_budget::handle memory_budget::findStalled(handle requester, time_point now)
{
    handle chosen = m_connections.end();
    for (handle one = m_connections.begin(); one != m_connections.end(); ++one) {
        if (one == requester || one->isEvicted || one->currentStage == stage::Serving)
            continue;
        const duration stallTime = one->currentStage == stage::Sending ? sendStallTime : receiveStallTime;
        if (now - one->progressAt < stallTime)
            continue;
        if (chosen == m_connections.end() || one->totalBytes() > chosen->totalBytes())
            chosen = one;
    }
    return chosen;
}

memory_budget::handle memory_budget::findLargestRequest(handle requester)
{
    handle chosen = m_connections.end();
    for (handle one = m_connections.begin(); one != m_connections.end(); ++one) {
        if (one == requester || one->isEvicted || one->currentStage != stage::Receiving)
            continue;
        if (chosen == m_connections.end() || one->totalBytes() >= chosen->totalBytes())
            chosen = one;
    }
    return chosen;
}

bool memory_budget::evictOne(handle requester, std::size_t requesterBytes, time_point now)
{
    if (const handle stalled = findStalled(requester, now); stalled != m_connections.end()) {
        evict(stalled, eviction_reason::Stalled);
        return true;
    }
    const handle largest = findLargestRequest(requester);
    if (largest == m_connections.end())
        return false;
    if (requester->currentStage == stage::Receiving && requesterBytes >= largest->totalBytes())
        return false;
    evict(largest, eviction_reason::LargestRequest);
    return true;
}

void memory_budget::evict(handle evicted, eviction_reason reason)
{
    evicted->isEvicted = true;
    for (int use = 0; use < memoryUses; ++use) {
        if (static_cast<memory_use>(use) != memory_use::Connection)
            setBytes(evicted, static_cast<memory_use>(use), 0);
    }
    // The handler may close the connection, and with it destroy this function.
    const eviction_handler onEvicted = evicted->onEvicted;
    m_isEvicting = true;
    onEvicted(reason);
    m_isEvicting = false;
}

void memory_budget::setBytes(handle user, memory_use use, std::size_t bytes)
{
    const auto index = static_cast<std::size_t>(use);
    m_usedBytes = m_usedBytes - user->bytes[index] + bytes;
    m_bytes[index] = m_bytes[index] - user->bytes[index] + bytes;
    user->bytes[index] = bytes;
}

}
