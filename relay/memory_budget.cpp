#include "relay/memory_budget.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace sardinelb {

namespace {

// A request without progress for this long gives way first. An idle connection may be replaced by a new one after this time.
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

// Part of the limit that one connection may exceed it by.
constexpr std::size_t overdraftDivisor = 8;

constexpr std::size_t memoryShareDivisor = 2;
// Room for one request and one response at the limits.
constexpr std::size_t minCallerBytes = 33554432;

// Descriptors that the platform keeps for files.
constexpr std::size_t fileDescriptors = 200;
constexpr std::size_t otherSocketsDivisor = 4;
constexpr std::size_t minConnections = 16;

// Part of the connections that may be open beyond the limit while they send their last response.
constexpr std::size_t closingShareDivisor = 32;

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

std::size_t memory_budget::connection::evictableBytes() const
{
    return totalBytes() - bytes[static_cast<std::size_t>(memory_use::Connection)];
}

bool memory_budget::isRoomForConnection() const
{
    const std::size_t uncounted = std::min(m_evictedConnections, m_limits.connections / closingShareDivisor + 1);
    return m_connections.size() - uncounted < m_limits.connections && m_usedBytes + connectionBytes <= m_limits.bytes;
}

bool memory_budget::admit(time_point now)
{
    if (isRoomForConnection())
        return true;
    const handle replaced = findReplaceable(now);
    if (replaced == m_connections.end())
        return false;
    const bool isIdle = replaced->currentStage == stage::Idle;
    const std::size_t freedBytes = isIdle ? replaced->totalBytes() : replaced->evictableBytes();
    if (m_usedBytes + connectionBytes > m_limits.bytes + freedBytes)
        return false;
    evict(replaced, isIdle ? eviction_reason::Idle : eviction_reason::Stalled);
    return isRoomForConnection();
}

memory_budget::handle memory_budget::findReplaceable(time_point now)
{
    // The one that has been idle for longest is first, and idle ones go before stalled requests.
    handle longestIdle = m_connections.end();
    handle largestStalled = m_connections.end();
    for (handle one = m_connections.begin(); one != m_connections.end(); ++one) {
        if (one->isEvicted || now - one->progressAt < receiveStallTime)
            continue;
        if (one->currentStage == stage::Idle && (longestIdle == m_connections.end() || one->progressAt < longestIdle->progressAt))
            longestIdle = one;
        if (one->currentStage == stage::Receiving && (largestStalled == m_connections.end() || one->totalBytes() > largestStalled->totalBytes()))
            largestStalled = one;
    }
    return longestIdle != m_connections.end() ? longestIdle : largestStalled;
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
    if (closed->isEvicted)
        --m_evictedConnections;
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
        const std::size_t limit = limitFor(requesterBytes);
        if (m_usedBytes + added > limit && !canFree(m_usedBytes + added - limit, requester, requesterBytes, now))
            return false;
        while (m_usedBytes + added > limit) {
            if (!evictOne(requester, requesterBytes, now))
                return false;
        }
    }
    setBytes(requester, use, bytes);
    return true;
}

bool memory_budget::tryReserve(handle requester, memory_use use, std::size_t bytes)
{
    const std::size_t before = requester->bytes[static_cast<std::size_t>(use)];
    const std::size_t limit = limitFor(requester->totalBytes() - before + bytes);
    if (bytes > before && m_usedBytes - before + bytes > limit)
        return false;
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

bool memory_budget::mayOverdraw(handle user, memory_use use, std::size_t bytes) const
{
    const auto index = static_cast<std::size_t>(use);
    if (m_usedBytes - user->bytes[index] + bytes > m_limits.bytes + m_limits.bytes / overdraftDivisor)
        return false;
    // Finds the first one of equal ones.
    const auto largest = std::max_element(m_connections.begin(), m_connections.end(), [index](const connection& left, const connection& right) { return left.bytes[index] < right.bytes[index]; });
    return largest == connection_list::const_iterator(user);
}

std::size_t memory_budget::maxUnsentBytes() const
{
    const std::size_t free = m_limits.bytes - std::min(m_limits.bytes, m_usedBytes);
    return std::clamp(free / unsentShareDivisor, minUnsentBytes, maxUnsentBytesOfOne);
}

std::size_t memory_budget::limitFor(std::size_t requesterBytes) const
{
    return requesterBytes > smallConnectionBytes ? m_limits.bytes - m_limits.bytes / smallShareDivisor : m_limits.bytes;
}

bool memory_budget::isStalled(const connection& one, time_point now)
{
    if (one.currentStage == stage::Receiving)
        return now - one.progressAt >= receiveStallTime;
    return one.currentStage == stage::Sending && now - one.progressAt >= sendStallTime;
}

bool memory_budget::mayGiveWay(const connection& one, handle requester, std::size_t requesterBytes, time_point now)
{
    if (&one == &*requester || one.isEvicted || one.evictableBytes() == 0)
        return false;
    const bool isRequesterSmaller = requester->currentStage != stage::Receiving || requesterBytes < one.totalBytes();
    return isStalled(one, now) || (one.currentStage == stage::Receiving && isRequesterSmaller);
}

bool memory_budget::canFree(std::size_t bytes, handle requester, std::size_t requesterBytes, time_point now) const
{
    std::size_t freeable = 0;
    for (const connection& one : m_connections) {
        if (mayGiveWay(one, requester, requesterBytes, now))
            freeable += one.evictableBytes();
    }
    return freeable >= bytes;
}

memory_budget::handle memory_budget::findStalled(handle requester, time_point now)
{
    handle chosen = m_connections.end();
    for (handle one = m_connections.begin(); one != m_connections.end(); ++one) {
        if (one == requester || one->isEvicted || one->evictableBytes() == 0 || !isStalled(*one, now))
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
        if (one == requester || one->isEvicted || one->evictableBytes() == 0 || one->currentStage != stage::Receiving)
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
    ++m_evictedConnections;
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
