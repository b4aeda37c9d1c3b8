#include "coordination/agent/agent_core.h"

#include <gtest/gtest.h>

#include <chrono>

namespace sardinelb {

namespace {

const daemon_id entry("entry-0");
constexpr time_point start { std::chrono::seconds(1) };

// An agent that serves and is connected to one entry.
class agent_core_with_entry : public testing::Test {
protected:
    agent_core_with_entry()
        : agent(settings())
    {
        agent.configure(runner_target::Serving, start);
        agent.onPeerConnected(entry, incarnation(1), start);
        agent.takeActions();
    }

    static agent_settings settings()
    {
        agent_settings values;
        values.runner = runner_id("runner-0");
        values.ownIncarnation = incarnation(7);
        return values;
    }

    attempt_id submit(const std::string& request)
    {
        submit_message message;
        message.attempt = { request_id(request), 1 };
        message.expectedIncarnation = incarnation(7);
        message.team = team_id("team");
        message.kind = pool_kind::Service;
        message.dispatchWithin = std::chrono::seconds(10);
        message.answerWithin = std::chrono::seconds(10);
        agent.onMessage(entry, message, start);
        return message.attempt;
    }

    // Reason of the last refusal, or None.
    refusal_reason lastRefusal()
    {
        refusal_reason reason = refusal_reason::None;
        for (const agent_action& action : agent.takeActions()) {
            const auto* sent = std::get_if<send_to_peer_action>(&action);
            const auto* admission = sent ? std::get_if<admission_message>(&sent->message) : nullptr;
            if (admission)
                reason = admission->refusal;
        }
        return reason;
    }

    agent_core agent;
};

}

// Guards against a runner that refuses connections and gets more requests until its probes have failed.
TEST_F(agent_core_with_entry, RefusesWorkAfterARefusedConnectionUntilAProbeSucceeds)
{
    agent.onCallFailed(submit("r1"), 1, call_failure::Unreachable, "connection refused", start);
    agent.takeActions();
    submit("r2");
    EXPECT_EQ(lastRefusal(), refusal_reason::RunnerDown);
    agent.onRunnerReachabilityChanged(true, start);
    submit("r3");
    EXPECT_EQ(lastRefusal(), refusal_reason::None);
}

// Guards against taking a runner out because it refused one request.
TEST_F(agent_core_with_entry, GoesOnAfterTheRunnerRefusedARequest)
{
    agent.onCallFailed(submit("r1"), 1, call_failure::NotExecuted, "status 400", start);
    agent.takeActions();
    submit("r2");
    EXPECT_EQ(lastRefusal(), refusal_reason::None);
}

}
