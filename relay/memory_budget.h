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

// Memory of a parsed head in proportion to its bytes: a field of five bytes takes two allocations and a node in a tree.
inline constexpr std::size_t headMemoryFactor = 16;

// Fewer received bytes do not count as progress.
inline constexpr std::size_t minProgressBytes = 1024;

// Decides which connections of a process may use memory, so that all together stay within its limit whatever clients send and leave
// unread. Users reserve before they read or allocate, and state amounts that cover what the allocator really takes. If there is no room,
// connections give way in this order: those without progress, the largest first; then the largest unfinished request, of equal ones the
// newest. Idle connections give way only to new ones. A request that was passed on to a runner gives way only when its caller has
// stopped reading the response. Pure state machine; time is passed in.
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
        // Bytes that an eviction frees at once.
        std::size_t evictableBytes() const;
    };

    // In the order of their arrival.
    using connection_list = std::list<connection>;
    using handle = connection_list::iterator;

    // Memory of a connection between two requests: its buffers, the socket and the bookkeeping of the event loop.
    static constexpr std::size_t connectionBytes = 16384;

    explicit memory_budget(memory_limits);

    // Whether one more connection may be opened: whether a descriptor and the memory of a connection are free. Evicts an idle connection
    // or a stalled request if that makes room.
    bool admit(time_point now);

    handle open(eviction_handler, time_point now);
    void close(handle);

    // Starts a stage. Counts as progress.
    void enter(handle, stage, time_point now);
    void recordProgress(handle, time_point now);

    // Sets the bytes of one use. Evicts others if there is no room; if that would not be enough, or the connection itself would be the
    // next to give way, evicts nothing and returns false.
    bool reserve(handle, memory_use, std::size_t bytes, time_point now);

    // Sets the bytes of one use if there is room without an eviction.
    bool tryReserve(handle, memory_use, std::size_t bytes);

    // Sets the bytes of one use without asking. For what is there already, such as a response that must be delivered, and for releases.
    // Evicts others if that exceeds the limit.
    void charge(handle, memory_use, std::size_t bytes, time_point now);

    // Whether the connection may go on beyond the limit with what it has begun, by a small part of the limit: if no connection uses more
    // for this, and none that is older uses as much.
    bool mayOverdraw(handle, memory_use, std::size_t bytes) const;

    // Most bytes that may wait for a caller before its runner is no longer read: a part of what is free, so that each further slow
    // reader gets less.
    std::size_t maxUnsentBytes() const;

    std::size_t usedBytes() const { return m_usedBytes; }
    std::size_t usedBytes(memory_use use) const { return m_bytes[static_cast<std::size_t>(use)]; }
    std::size_t connectionCount() const { return m_connections.size(); }
    const memory_limits& limits() const { return m_limits; }

private:
    bool isRoomForConnection() const;
    // The connection that gives way to a new one.
    handle findReplaceable(time_point now);
    static bool isStalled(const connection&, time_point now);
    // Whether the connection may be evicted for memory that `requester` asks for.
    static bool mayGiveWay(const connection&, handle requester, std::size_t requesterBytes, time_point now);
    bool canFree(std::size_t bytes, handle requester, std::size_t requesterBytes, time_point now) const;
    handle findStalled(handle requester, time_point now);
    handle findLargestRequest(handle requester);
    bool evictOne(handle requester, std::size_t requesterBytes, time_point now);
    void evict(handle, eviction_reason);
    void setBytes(handle, memory_use, std::size_t bytes);
    std::size_t limitFor(std::size_t requesterBytes) const;

    memory_limits m_limits;
    connection_list m_connections;
    std::array<std::size_t, memoryUses> m_bytes {};
    std::size_t m_usedBytes = 0;
    // Evicted connections that have not closed yet.
    std::size_t m_evictedConnections = 0;
    // A connection that gives way may send a last response, which must make no other one give way.
    bool m_isEvicting = false;
};

}
