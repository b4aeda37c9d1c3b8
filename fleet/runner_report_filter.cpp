#include "fleet/runner_report_filter.h"

#include <cstdint>

namespace sardinelb {

namespace {

using platform::runner_report;

// Passes that a group may run between two reports. A pass takes 5 ms or more, and reports are read ten times a second.
constexpr std::uint64_t maxPassesBetweenReports = 200;

bool isCredibleStep(step_number before, step_number after)
{
    return after >= before && after.value() - before.value() <= maxPassesBetweenReports;
}

// Name of the first value that must not change without confirmation and differs. nullptr if there is none.
const char* firstDifference(const runner_report& before, const runner_report& after)
{
    if (before.load.group != after.load.group)
        return "group";
    if (before.groupSize != after.groupSize)
        return "size";
    if (before.load.rank != after.load.rank)
        return "rank";
    if (before.load.startedAtMs != after.load.startedAtMs)
        return "born";
    if (before.load.isGroupOpen != after.load.isGroupOpen)
        return "state";
    if (before.status.epoch != after.status.epoch)
        return "epoch";
    if (before.status.map != after.status.map)
        return "map";
    if (before.status.prepared != after.status.prepared)
        return "prepared";
    if (before.status.armed != after.status.armed || before.status.armedStep != after.status.armedStep)
        return "armed";
    if (before.status.held != after.status.held)
        return "held";
    if (!isCredibleStep(before.status.step, after.status.step))
        return "step";
    return nullptr;
}

}

runner_report_filter::verdict runner_report_filter::onReport(const runner_report& report)
{
    const bool isExpected = m_accepted && !firstDifference(*m_accepted, report);
    const char* contradicted = m_unconfirmed ? firstDifference(*m_unconfirmed, report) : nullptr;
    const bool isConfirmed = m_unconfirmed && !contradicted;
    // A runner may change twice in a row; only one that is back where it was has contradicted itself.
    m_contradictedField = isExpected ? contradicted : nullptr;
    if (isExpected || isConfirmed) {
        m_accepted = report;
        m_unconfirmed.reset();
        return verdict::Accepted;
    }
    m_unconfirmed = report;
    return verdict::Unconfirmed;
}

}
