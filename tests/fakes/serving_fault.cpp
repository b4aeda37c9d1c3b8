#include "tests/fakes/serving_fault.h"

#include "tests/fakes/serving_simulation.h"

#include <chrono>

namespace sardinelb::fakes {

namespace {

using namespace std::chrono_literals;

constexpr duration restartTime = 1s;
// Above the answer time of the requests (3 s) and below the silence timeout of the transport (4 s).
constexpr duration entryPause = 3500ms;
// Above the admission timeout (1 s).
constexpr duration agentPause = 2s;
// Above the silence timeout of the transport.
constexpr duration longPause = 6s;
constexpr duration cutTime = 200ms;
constexpr duration refusalTime = 2500ms;
// Above the answer time of the requests.
constexpr duration stallTime = 15s;
constexpr int slowness = 20;
constexpr duration slowTime = 20s;
constexpr duration lateDelay = 500ms;
constexpr duration usualDelay = 1ms;
constexpr duration lateTime = 10s;

void cutAndRestore(serving_simulation& simulation, std::size_t entry, std::size_t agent)
{
    const daemon_id entryId = simulation.entry(entry).id();
    const daemon_id agentId = simulation.agent(agent).id();
    simulation.network().cut(entryId, agentId, fake_network::loss_notice::Prompt, true);
    simulation.events().after(
        cutTime, [&simulation, entryId, agentId] { simulation.network().restore(entryId, agentId); });
}

void delayLink(serving_simulation& simulation, std::size_t entry, std::size_t agent)
{
    const daemon_id entryId = simulation.entry(entry).id();
    const daemon_id agentId = simulation.agent(agent).id();
    simulation.network().setDelay(entryId, agentId, lateDelay);
    simulation.events().after(
        lateTime, [&simulation, entryId, agentId] { simulation.network().setDelay(entryId, agentId, usualDelay); });
}

}

const char* toString(serving_fault fault)
{
    switch (fault) {
    case serving_fault::EntryKilled:
        return "entry-killed";
    case serving_fault::EntryPaused:
        return "entry-paused";
    case serving_fault::EntryPausedLong:
        return "entry-paused-long";
    case serving_fault::AgentRestarted:
        return "agent-restarted";
    case serving_fault::AgentPaused:
        return "agent-paused";
    case serving_fault::AgentPausedLong:
        return "agent-paused-long";
    case serving_fault::ConnectionRestored:
        return "connection-restored";
    case serving_fault::ConnectionCut:
        return "connection-cut";
    case serving_fault::RunnerRefuses:
        return "runner-refuses";
    case serving_fault::RunnerBreaksCall:
        return "runner-breaks-call";
    case serving_fault::RunnerStalls:
        return "runner-stalls";
    case serving_fault::RunnerSlow:
        return "runner-slow";
    case serving_fault::LinkLate:
        return "link-late";
    case serving_fault::CallerLeaves:
        return "caller-leaves";
    case serving_fault::RunnerDrained:
        return "runner-drained";
    case serving_fault::AgentStopped:
        return "agent-stopped";
    case serving_fault::EntryStopped:
        return "entry-stopped";
    }
    return "invalid";
}

bool isHarmless(serving_fault fault)
{
    switch (fault) {
    case serving_fault::LinkLate:
    case serving_fault::CallerLeaves:
    case serving_fault::RunnerDrained:
    case serving_fault::AgentStopped:
    case serving_fault::EntryStopped:
        return true;
    default:
        return false;
    }
}

void inject(
    serving_simulation& simulation, serving_fault fault, const request_id& request, std::size_t entry,
    std::size_t agent)
{
    switch (fault) {
    case serving_fault::EntryKilled:
        simulation.killEntry(entry, restartTime);
        break;
    case serving_fault::EntryPaused:
        simulation.pauseEntry(entry, entryPause, process_host::wake_order::Tick);
        break;
    case serving_fault::EntryPausedLong:
        simulation.pauseEntry(entry, longPause, process_host::wake_order::Input);
        break;
    case serving_fault::AgentRestarted:
        simulation.killAgent(agent, restartTime);
        break;
    case serving_fault::AgentPaused:
        simulation.pauseAgent(agent, agentPause, process_host::wake_order::Input);
        break;
    case serving_fault::AgentPausedLong:
        simulation.pauseAgent(agent, longPause, process_host::wake_order::Tick);
        break;
    case serving_fault::ConnectionRestored:
        cutAndRestore(simulation, entry, agent);
        break;
    case serving_fault::ConnectionCut:
        simulation.network().cut(
            simulation.entry(entry).id(), simulation.agent(agent).id(), fake_network::loss_notice::Silent, true);
        break;
    case serving_fault::RunnerRefuses:
        simulation.refuseConnections(agent, refusalTime);
        break;
    case serving_fault::RunnerBreaksCall:
        simulation.agent(agent).runner().breakCalls();
        break;
    case serving_fault::RunnerStalls:
        simulation.agent(agent).runner().stall(true);
        simulation.events().after(stallTime, [&simulation, agent] { simulation.agent(agent).runner().stall(false); });
        break;
    case serving_fault::RunnerSlow:
        simulation.agent(agent).runner().slowDown(slowness);
        simulation.events().after(slowTime, [&simulation, agent] { simulation.agent(agent).runner().slowDown(1); });
        break;
    case serving_fault::LinkLate:
        delayLink(simulation, entry, agent);
        break;
    case serving_fault::CallerLeaves:
        // The entry is notified after the current event.
        simulation.events().after(duration::zero(), [&simulation, request] { simulation.disconnectCaller(request); });
        break;
    case serving_fault::RunnerDrained:
        simulation.drain(agent);
        break;
    case serving_fault::AgentStopped:
        simulation.stopAgent(agent, restartTime);
        break;
    case serving_fault::EntryStopped:
        simulation.stopEntry(entry, restartTime);
        break;
    }
}

}
