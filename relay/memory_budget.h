#pragma once

#include "relay/eviction_reason.h"
#include "relay/memory_limits.h"
#include "relay/memory_use.h"
#include "state/time.h"

#include <array>
#include <cstddef>
#include <functional>
#include <list>

namespace sardinelb {

// Decides which connections of a process may use memory, so that all together stay within its limit whatever clients send and leave
// unread. Users reserve before they read or allocate, and state amounts that cover what the allocator really takes. If there is no room,
// connections give way in this order: those without progress, the largest first; then the largest unfinished request, of equal ones the
// newest. A request that has been passed on to a runner gives way only when its caller has stopped reading the response. Without input
// or output; the time is passed in.
class memory_budget {
public:
    enum class stage {
        // Between two requests.
        Idle,
        // Part of a request has arrived.
        Receiving,
        // The request is being served, and the caller has read all of the response so far.
        Serving,
        // The caller has to read a part of the response.
        Sending,
    };

    // Called when a connection has to free its memory. All that it had reserved is released already, but for the connection itself.
    // Must not reserve or open anything.
    using eviction_handler = std::function<void(eviction_reason)>;

    struct connection {
        eviction_handler onEvicted;
        stage currentStage = stage::Idle;
        time_point progressAt;
        std::array<std::size_t, memoryUses> bytes {};
        bool isEvicted = false;

        std::size_t totalBytes() const;
    };

    // In the order of their arrival.
    using connection_list = std::list<connection>;
    using handle = connection_list::iterator;

    explicit memory_budget(memory_limits);

    // Whether one more connection may be opened. Evicts an idle or stalled one if that makes room.
    bool admit(time_point now);

    handle open(eviction_handler, time_point now);
    void close(handle);

    // Starts a stage. Counts as progress.
    void enter(handle, stage, time_point now);
    void recordProgress(handle, time_point now);

    // Sets the bytes of one use. Evicts others if there is no room; if that is not enough, or the connection itself would be the next to
    // give way, returns false and changes nothing.
    bool reserve(handle, memory_use, std::size_t bytes, time_point now);

    // Sets the bytes of one use without asking. For what is there already, such as a response that must be delivered, and for releases.
    // Evicts others if that exceeds the limit.
    void charge(handle, memory_use, std::size_t bytes, time_point now);

    // Most bytes that may wait for a caller before its runner is no longer read: a part of what is free, so that each further slow
    // reader gets less.
    std::size_t maxUnsentBytes() const;

    std::size_t usedBytes() const { return m_usedBytes; }
    std::size_t usedBytes(memory_use use) const { return m_bytes[static_cast<std::size_t>(use)]; }
    std::size_t connectionCount() const { return m_connections.size(); }
    const memory_limits& limits() const { return m_limits; }

private:
    handle findStalled(handle requester, time_point now);
    handle findLargestRequest(handle requester);
    bool evictOne(handle requester, std::size_t requesterBytes, time_point now);
    void evict(handle, eviction_reason);
    void setBytes(handle, memory_use, std::size_t bytes);
    std::size_t limitFor(std::size_t connectionBytes) const;

    memory_limits m_limits;
    connection_list m_connections;
    std::array<std::size_t, memoryUses> m_bytes {};
    std::size_t m_usedBytes = 0;
    // A connection that gives way may send a last response, which must make no other one give way.
    bool m_isEvicting = false;
};

}
