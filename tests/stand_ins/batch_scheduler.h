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

// Continuous batching of a model engine, driven by the time passed to it. A stream joins the batch once a slot and KV
// cache for its complete output are free; waiting streams start by ascending priority value, then in order of
// submission. Prefill computes the prompt and the tokens before the resume position, except for cached prefixes;
// after that, the stream generates one token per token interval.
class batch_scheduler {
public:
    enum class submit_result {
        Accepted,
        // A stream with the same id is waiting or running.
        DuplicateId,
        // The stream needs more KV cache than the engine has.
        TooLarge,
    };

    explicit batch_scheduler(batch_settings);

    // Adds the stream to the queue. Call poll() afterwards.
    submit_result submit(const generation_request&);

    // Removes the stream. Returns false when it is neither waiting nor running. Call poll() afterwards.
    bool cancel(const std::string& id);

    // Returns the events that are due: at most one token per stream, and the ends of streams.
    std::vector<generation_event> poll(time_point now);

    // Earliest time at which poll() returns an event; nullopt while no stream runs.
    std::optional<time_point> nextDeadline() const;

    // Scales the time of later tokens and prefills. The factor must be above 0.
    void setSlowdown(double factor) { m_slowdown = factor; }

    engine_load load() const;

    // Number of times that each request id has left the queue and started.
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
    // Ordered by priority and number of submission, which is the order of starting.
    using waiting_queue = std::map<std::pair<std::int64_t, std::uint64_t>, generation_request>;

    static std::uint64_t requiredKvTokens(const generation_request&);
    bool isKnownId(const std::string& id) const;
    void start(const generation_request&, time_point now);
    void startWaitingStreams(time_point now);
    void recordCacheChanges(const std::vector<cache_change>&);
    // Generates the next token if it is due. Returns whether the stream has all its tokens and has ended.
    bool generateDueToken(running_stream&, time_point now, std::vector<generation_event>&) const;
    void removeRunning(std::size_t position);
    duration scaled(duration) const;

    batch_settings m_settings;
    prefix_cache m_cache;
    double m_slowdown = 1;
    waiting_queue m_waiting;
    std::vector<running_stream> m_running;
    // KV cache reserved for the complete outputs of all running streams.
    std::uint64_t m_reservedTokens = 0;
    std::uint64_t m_submittedCount = 0;
    std::map<std::string, std::uint64_t> m_startCounts;
    std::vector<cache_change> m_cacheChanges;
};

}
