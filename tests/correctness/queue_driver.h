#pragma once

#include "coordination/queueing/request_queue.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sardinelb {

// Runs a request queue with a simulated runner that generates one token per slot and token interval. The driver records
// the state of every attempt and fails the test if an action is invalid in that state.
class queue_driver {
public:
    enum class phase {
        Waiting,
        Running,
        Paused,
        // Refused, removed or finished.
        Over,
    };

    struct record {
        queued_request request;
        std::int64_t length = 0;
        std::int64_t generated = 0;
        phase now = phase::Waiting;
        time_point admittedAt;
        std::optional<time_point> dispatchedAt;
        std::optional<time_point> finishedAt;
        std::optional<refusal_reason> refusal;
    };

    explicit queue_driver(queue_settings settings)
        : m_settings(settings)
        , m_queue(settings)
    {
    }

    // Submits a request with the number as its id and the given actual length, and polls.
    refusal_reason admit(int number, queued_request request, std::int64_t length)
    {
        request.attempt = { request_id(std::to_string(number)), 1 };
        const refusal_reason refusal = m_queue.admit(request, m_now);
        if (refusal == refusal_reason::None)
            m_records[request.attempt] = { request, length, 0, phase::Waiting, m_now, {}, {}, {} };
        poll();
        return refusal;
    }

    // Advances the time and lets the runner generate tokens until then.
    void runUntil(time_point end)
    {
        while (m_now + m_settings.tokenInterval <= end) {
            m_now += m_settings.tokenInterval;
            generateTokens();
            poll();
        }
    }

    void remove(int number)
    {
        const attempt_id id { request_id(std::to_string(number)), 1 };
        const auto found = m_records.find(id);
        const bool isWaiting = found != m_records.end() && found->second.now == phase::Waiting;
        EXPECT_EQ(m_queue.remove(id), isWaiting);
        if (isWaiting)
            found->second.now = phase::Over;
        poll();
    }

    void poll()
    {
        for (const queue_action& action : m_queue.poll(m_now))
            apply(action);
        check();
    }

    const record& at(int number) const { return m_records.at({ request_id(std::to_string(number)), 1 }); }
    const std::map<attempt_id, record>& records() const { return m_records; }
    time_point now() const { return m_now; }
    request_queue& queue() { return m_queue; }

    std::size_t count(phase wanted) const
    {
        return static_cast<std::size_t>(std::count_if(
            m_records.begin(), m_records.end(), [&](const auto& entry) { return entry.second.now == wanted; }));
    }

private:
    void generateTokens()
    {
        std::vector<attempt_id> done;
        for (auto& [id, kept] : m_records) {
            if (kept.now != phase::Running)
                continue;
            m_queue.onAttemptProgress(id, token_count(1), m_now);
            if (++kept.generated >= kept.length)
                done.push_back(id);
        }
        for (const attempt_id& id : done) {
            m_records[id].now = phase::Over;
            m_records[id].finishedAt = m_now;
            m_queue.onAttemptFinished(id, m_now);
        }
    }

    void apply(const queue_action& action)
    {
        ASSERT_TRUE(m_records.contains(action.attempt)) << "action for an attempt that was never admitted";
        record& kept = m_records[action.attempt];
        switch (action.kind) {
        case queue_action_kind::Dispatch:
            EXPECT_EQ(kept.now, phase::Waiting) << "dispatched twice, or after a refusal or removal";
            EXPECT_FALSE(kept.dispatchedAt.has_value());
            EXPECT_LE(m_now, kept.request.dispatchBy) << "dispatched after its dispatch deadline";
            kept.dispatchedAt = m_now;
            kept.now = phase::Running;
            break;
        case queue_action_kind::Resume:
            EXPECT_EQ(kept.now, phase::Paused);
            kept.now = phase::Running;
            break;
        case queue_action_kind::Pause:
            EXPECT_EQ(kept.now, phase::Running);
            EXPECT_TRUE(kept.request.preemptible);
            kept.now = phase::Paused;
            break;
        case queue_action_kind::Refuse:
            EXPECT_EQ(kept.now, phase::Waiting) << "refused although it was dispatched";
            kept.refusal = action.reason;
            kept.now = phase::Over;
            break;
        }
        EXPECT_LE(count(phase::Running), m_settings.slots) << "more attempts run than the runner has slots";
    }

    void check()
    {
        EXPECT_EQ(m_queue.running(), count(phase::Running));
        EXPECT_EQ(m_queue.queued(), count(phase::Waiting) + count(phase::Paused));
        EXPECT_LE(count(phase::Waiting), m_settings.maxQueued);
        EXPECT_TRUE(m_queue.poll(m_now).empty()) << "a second poll at the same time returned further actions";
        const auto next = m_queue.nextDeadline();
        EXPECT_TRUE(!next || *next > m_now) << "the caller would poll endlessly: the next deadline has passed";
    }

    queue_settings m_settings;
    request_queue m_queue;
    std::map<attempt_id, record> m_records;
    time_point m_now { std::chrono::seconds(1) };
};

}
