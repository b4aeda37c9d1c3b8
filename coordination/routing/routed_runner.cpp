#include "coordination/routing/routed_runner.h"

#include <chrono>

namespace sardinelb {

namespace {

using namespace std::chrono_literals;

// Agents report their load several times a second.
constexpr duration longestSilence = 3s;

}

bool isOpen(const routed_runner& runner) { return runner.view.accepting && runner.load.report().accepting; }

bool canTakeWork(const routed_runner& runner) { return isOpen(runner) && runner.view.agentIncarnation.value() != 0; }

bool isSilent(const routed_runner& runner, time_point now)
{
    return runner.load.ownInFlight() > 0 && runner.lastHeard && now - *runner.lastHeard > longestSilence;
}

}
