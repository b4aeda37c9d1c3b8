#pragma once

#include "state/time.h"
#include "tests/stand_ins/batch_settings.h"
#include "tests/stand_ins/cache_change.h"
#include "tests/stand_ins/engine_load.h"
#include "tests/stand_ins/generation_event.h"
#include "tests/stand_ins/generation_request.h"
#include "tests/stand_ins/prefix_cache.h"
#include "tests/stand_ins/token_text.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sardinelb::stand_ins {

// Continuous batching of an engine, in virtual time. A stream joins the batch as soon as a slot and KV cache for its
// whole answer are free; the waiting stream with the lowest priority value joins first, and the oldest among equals.
// Its prompt and the tokens before its resume position are computed first, except for what the prefix cache holds;
// then it generates a token at every token interval.
class batch_scheduler {
public:
    enum class submit_result {
        Accepted,
        // A stream with the same id is waiting or running.
        DuplicateId,
        // The KV cache cannot hold the stream even when it is empty.
        TooLarge,
    };

    explicit batch_scheduler(batch_settings);

    // Takes the stream into the waiting line. Call poll() afterwards.
    submit_result submit(const generation_request&);

    // Removes the stream. Returns false when it is neither waiting nor running. Call poll() afterwards.
    bool cancel(const std::string& id);

    // Returns what has become due: at most one token for each stream, and the end of streams.
    std::vector<generation_event> poll(time_point now);

    // Time at which poll() has something to return; nothing while no stream runs.
    std::optional<time_point> nextDeadline() const;

    // Multiplies the time that later tokens and prompts take. The factor must be above 0.
    void setSlowdown(double factor) { m_slowdown = factor; }

    engine_load load() const;

    // How often each request id has left the waiting line.
    const std::map<std::string, std::uint64_t>& startCounts() const { return m_startCounts; }

    // Changes of the prefix cache since the last call.
    std::vector<cache_change> takeCacheChanges() { return std::exchange(m_cacheChanges, {}); }

private:
    struct running_stream {
        generation_request request;
        token_text text;
        std::uint64_t promptTokens;
        std::uint64_t nextIndex;
        time_point nextTokenAt;
    };
    // Waiting streams in the order in which they will start.
    using waiting_queue = std::map<std::pair<std::int64_t, std::uint64_t>, generation_request>;

    static std::uint64_t requiredKvTokens(const generation_request&);
    bool isKnownId(const std::string& id) const;
    void start(const generation_request&, time_point now);
    void startWaitingStreams(time_point now);
    void recordCacheChanges(const std::vector<cache_change>&);
    // Generates the token that is due, or ends the stream when it has all its tokens. Returns whether it has ended.
    bool generateDueToken(running_stream&, time_point now, std::vector<generation_event>&) const;
    void removeRunning(std::size_t position);
    duration scaled(duration) const;

    batch_settings m_settings;
    prefix_cache m_cache;
    double m_slowdown = 1;
    waiting_queue m_waiting;
    std::vector<running_stream> m_running;
    // KV cache set aside for the whole answers of all running streams.
    std::uint64_t m_reservedTokens = 0;
    std::uint64_t m_submittedCount = 0;
    std::map<std::string, std::uint64_t> m_startCounts;
    std::vector<cache_change> m_cacheChanges;
};

}
