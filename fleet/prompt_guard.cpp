#include "fleet/prompt_guard.h"

#include "fleet/event_log.h"
#include "fleet/process_metrics.h"
#include "fleet/steady_time.h"
#include "serving/listed_runner.h"
#include "serving/prompt_parts.h"

#include <boost/asio/post.hpp>

namespace sardinelb {

prompt_guard::prompt_guard(boost::asio::any_io_executor executor, event_log& log, process_metrics& metrics, prompt_quarantine::random_source random)
    : m_executor(std::move(executor))
    , m_log(log)
    , m_metrics(metrics)
    , m_detector(m_executor, { [this](const runner_crash& crash) { return onCrash(crash); } })
    , m_quarantine(std::move(random))
{
}

std::optional<duration> prompt_guard::quarantineLeft(const pool_id& pool, const std::vector<prompt_part_id>& parts) const
{
    return m_quarantine.quarantineLeft(pool, parts, steadyNow());
}

bool prompt_guard::isSuspect(const pool_id& pool, const std::vector<prompt_part_id>& parts) const
{
    return m_quarantine.isSuspect(pool, parts);
}

void prompt_guard::onAttemptBroken(const std::string& address, const runner_crash& crash, crash_detector::receiver onResult)
{
    m_detector.onAttemptBroken(address, crash, std::move(onResult));
}

void prompt_guard::checkRunner(const listed_runner& runner, std::function<void(bool hasEnded)> onResult)
{
    m_detector.onAttemptBroken(runner.address, { processOf(runner), runner.id, runner.pool, {} }, [onResult = std::move(onResult)](crash_detector::outcome outcome) { onResult(outcome != crash_detector::outcome::Running); });
}

std::vector<prompt_part_evidence> prompt_guard::evidence() const
{
    return m_quarantine.evidence(steadyNow());
}

bool prompt_guard::onCrash(const runner_crash& crash)
{
    // A check of a runner by checkRunner(), which concerns no prompt.
    if (crash.promptParts.empty())
        return false;
    const bool isEvidence = m_attribution.isEvidence(crash, steadyNow());
    m_log.write("runner_crashed", { { "runner", crash.runner.value() }, { "pool", crash.pool.value() }, { "prompt_parts", describe(crash.promptParts) }, { "group", crash.group.value() }, { "cold", crash.isCold }, { "overrun", crash.isOverrun }, { "evidence", isEvidence } });
    m_metrics.count("runner_crashed");
    if (!isEvidence)
        return false;
    m_quarantine.onCrash(crash, steadyNow());
    applyQuarantines();
    scheduleEvidence();
    return true;
}

void prompt_guard::scheduleEvidence()
{
    // One crash concerns many requests, whose evidence is sent together.
    if (m_isEvidenceScheduled || !m_onEvidence)
        return;
    m_isEvidenceScheduled = true;
    boost::asio::post(m_executor, [this] {
        m_isEvidenceScheduled = false;
        m_onEvidence();
    });
}

void prompt_guard::applyQuarantines()
{
    const auto quarantined = m_quarantine.takeQuarantined(steadyNow());
    for (const auto& [part, isAdopted] : quarantined) {
        m_log.write("prompt_part_quarantined", { { "pool", part.pool.value() }, { "prompt_part", describe({ part.part }) }, { "crashes", static_cast<std::int64_t>(part.crashes.size()) }, { "for_ms", std::chrono::duration_cast<std::chrono::milliseconds>(part.quarantineLeft).count() }, { "adopted", isAdopted } });
        m_metrics.count("prompt_part_quarantined");
        if (!isAdopted && m_onQuarantine)
            m_onQuarantine(part);
    }
    if (!quarantined.empty() && m_checkRequests)
        m_checkRequests();
}

void prompt_guard::onAnswer(const pool_id& pool, const std::vector<prompt_part_id>& parts)
{
    m_quarantine.onAnswer(pool, parts, steadyNow());
    applyQuarantines();
}

void prompt_guard::onSent(const pool_id& pool, const std::vector<prompt_part_id>& parts)
{
    m_quarantine.onSent(pool, parts, steadyNow());
}

void prompt_guard::onEvidence(const std::vector<prompt_part_evidence>& parts)
{
    for (const prompt_part_evidence& part : parts)
        m_quarantine.onEvidence(part, steadyNow());
    applyQuarantines();
}

}
