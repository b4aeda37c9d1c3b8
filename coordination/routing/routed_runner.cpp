#include "coordination/routing/routed_runner.h"

#include <chrono>

namespace sardinelb {

namespace {

using namespace std::chrono_literals;

// Agents report their load several times per second.
constexpr duration responseTimeout = 3s;

}

bool isAccepting(const routed_runner& runner) { return runner.view.accepting && runner.load.report().accepting; }

bool canTakeWork(const routed_runner& runner)
{
    return isAccepting(runner) && runner.view.agentIncarnation.value() != 0;
}

bool isUnresponsive(const routed_runner& runner, time_point now)
{
    return runner.load.ownInFlight() > 0 && runner.lastContact && now - *runner.lastContact > responseTimeout;
}

}
