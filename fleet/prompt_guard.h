#pragma once

#include "fleet/crash_detector.h"
#include "serving/crash_attribution.h"
#include "serving/prompt_quarantine.h"
#include "state/ids.h"
#include "state/time.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

namespace sardinelb {

class event_log;
class process_metrics;
struct listed_runner;

// Keeps requests with prompt parts that crash runners away from the runners of one entry: finds the crashes, decides on quarantines,
// and ends the requests that a new quarantine concerns.
class prompt_guard {
public:
    prompt_guard(boost::asio::any_io_executor, event_log&, process_metrics&, prompt_quarantine::random_source);

    // Called when this entry has evidence that the others should get at once.
    void setEvidenceHandler(std::function<void()> handler) { m_onEvidence = std::move(handler); }

    // Called when this entry has quarantined a prompt part.
    void setQuarantineHandler(std::function<void(const prompt_part_evidence&)> handler) { m_onQuarantine = std::move(handler); }

    // Called after parts have been quarantined, to end the requests that have them.
    void setRequestCheck(std::function<void()> check) { m_checkRequests = std::move(check); }

    // See prompt_quarantine.
    std::optional<duration> quarantineLeft(const pool_id&, const std::vector<prompt_part_id>&) const;
    bool isSuspect(const pool_id&, const std::vector<prompt_part_id>&) const;
    void onSent(const pool_id&, const std::vector<prompt_part_id>&);
    void onAnswer(const pool_id&, const std::vector<prompt_part_id>&);

    // The connection to a runner broke before an answer began. See crash_detector.
    void onAttemptBroken(const std::string& address, const runner_crash&, crash_detector::receiver);

    // The receiver learns whether the runner's process has ended. Nothing is held against a prompt.
    void checkRunner(const listed_runner&, std::function<void(bool hasEnded)>);

    // Evidence for the other entries, and from them.
    std::vector<prompt_part_evidence> evidence() const;
    void onEvidence(const std::vector<prompt_part_evidence>&);

private:
    // Returns whether the request may be the cause.
    bool onCrash(const runner_crash&);
    void scheduleEvidence();
    // Logs new quarantines and ends the requests that they concern.
    void applyQuarantines();

    boost::asio::any_io_executor m_executor;
    event_log& m_log;
    process_metrics& m_metrics;
    crash_detector m_detector;
    crash_attribution m_attribution;
    prompt_quarantine m_quarantine;
    std::function<void()> m_onEvidence;
    std::function<void(const prompt_part_evidence&)> m_onQuarantine;
    std::function<void()> m_checkRequests;
    bool m_isEvidenceScheduled = false;
};

}
