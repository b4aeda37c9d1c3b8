#pragma once

#include "serving/prompt_part_evidence.h"
#include "serving/runner_crash.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sardinelb {

// Finds the prompt parts that crash runners, and keeps requests with them away from the runners. Handles requests that have nothing
// in common but one part, at any entry.
//
// A part is quarantined when several runners have ended while a request with it waited for its answer, no such request has been
// answered meanwhile, and others have. Any answer to a request with the part proves it harmless, so that parts which merely share
// requests or runners with a deadly one stay usable, and a crash that a quarantined part explains counts against no other. A quarantine ends after a time that doubles with each repetition; then single
// requests are let through, one at a time. Pure state machine; knows at most a few thousand parts.
class prompt_quarantine {
public:
    // Returns a number in [0, 1).
    using random_source = std::function<double()>;

    explicit prompt_quarantine(random_source);

    // An answer to a request with these parts has got past its beginning.
    void onAnswer(const pool_id&, const std::vector<prompt_part_id>&, time_point now);

    // A runner ended while a request with the parts waited for its answer. Call once for each such request.
    void onCrash(const runner_crash&, time_point now);

    // Evidence of another entry.
    void onEvidence(const prompt_part_evidence&, time_point now);

    // Evidence for the other entries, limited to the parts that most probably crash runners.
    std::vector<prompt_part_evidence> evidence(time_point now) const;

    // Time until a request with these parts may be sent. Nothing if it may be sent now.
    std::optional<duration> quarantineLeft(const pool_id&, const std::vector<prompt_part_id>&, time_point now) const;

    // Records that such a request is sent. The first one after a quarantine holds back the others until its outcome is known.
    void onSent(const pool_id&, const std::vector<prompt_part_id>&, time_point now);

    // Whether a request with these parts may be what ended the runner that it waited for, so that it must not be sent to another
    // one. False while too few requests have been answered to tell.
    bool isSuspect(const pool_id&, const std::vector<prompt_part_id>&) const;

    struct quarantined_part {
        prompt_part_evidence evidence;
        // Whether another entry has quarantined it, or an earlier process.
        bool isAdopted = false;
    };

    // Removes and returns the parts that have been quarantined since the last call.
    std::vector<quarantined_part> takeQuarantined(time_point now);

private:
    using part_key = std::pair<pool_id, prompt_part_id>;

    struct key_hash {
        std::size_t operator()(const part_key&) const;
    };

    struct answered_part {
        time_point at;
        // Requests of the pool that had been answered by then.
        std::uint64_t poolAnswers = 0;
    };

    struct suspect {
        std::map<runner_process_id, time_point> crashes;
        time_point lastCrashAt;
        // Position of the part in the prompts, from 0.
        std::uint32_t position = 0;
        // End of the current quarantine, or of the last one.
        std::optional<time_point> quarantinedUntil;
        std::uint32_t quarantineCount = 0;
        // While a single request with the part is tried, others wait until then.
        time_point trialUntil;
        // Nothing is known against a part that was answered; it is only kept until the other entries know.
        std::optional<time_point> clearedAt;
    };

    using answered_parts = std::unordered_map<part_key, answered_part, key_hash>;

    const answered_part* findAnswered(const part_key&) const;
    void recordAnswered(const part_key&, answered_part);
    void addCrash(const part_key&, runner_process_id, std::uint32_t position, time_point at, time_point now);
    // The crashes of a quarantined part no longer count against other parts.
    void explainCrashes(const suspect& cause, time_point now);
    static void clear(suspect&, time_point now);
    static bool isQuarantined(const suspect&, time_point now);
    bool isQuarantineDue(const part_key&, const suspect&, time_point now);
    bool hasCrashedEnough(const part_key&, const suspect&);
    void updateQuarantines(time_point now);
    void quarantine(const part_key&, suspect&, duration, bool isAdopted, time_point now);
    // A request with the part has been answered since all crashes in the evidence of another entry.
    void onAnsweredSince(const part_key&, bool isSuspectElsewhere, time_point now);
    prompt_part_evidence evidenceOf(const part_key&, const suspect&, time_point now) const;
    void removeExpired(time_point now);

    random_source m_random;
    std::unordered_map<pool_id, std::uint64_t> m_answers;
    // Parts that were answered, in two generations, of which the older one is dropped when the newer one is full.
    answered_parts m_answered;
    answered_parts m_answeredBefore;
    std::map<part_key, suspect> m_suspects;
    // Crashes with a quarantined part, and when they were found to be.
    std::map<runner_process_id, time_point> m_explainedCrashes;
    // With whether the quarantine is adopted.
    std::vector<std::pair<part_key, bool>> m_newlyQuarantined;
};

}
