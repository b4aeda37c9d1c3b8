#include "serving/crash_attribution.h"

#include "serving/runner_crash.h"

namespace sardinelb {

namespace {

// A group makes no pass until the rank that has ended is back, so within this time no prompt can end another rank.
constexpr duration groupStopTime = std::chrono::seconds(2);

}

bool crash_attribution::isEvidence(const runner_crash& crash, time_point now)
{
    std::erase_if(m_stops, [&](const auto& entry) { return now - entry.second.at > groupStopTime; });
    if (crash.isCold || crash.isOverrun)
        return false;
    if (crash.group.value().empty())
        return true;
    const auto stop = m_stops.try_emplace(crash.group, group_stop { crash.process, now }).first;
    return stop->second.firstProcess == crash.process;
}

}
