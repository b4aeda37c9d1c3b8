#pragma once

#include "serving/runner_crash.h"
#include "state/ids.h"
#include "state/time.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

namespace sardinelb {

// Finds out whether a runner has ended when connections to it break before its answers have begun. Connections are also reset one by
// one, so a broken one shows nothing; a runner that has ended refuses new ones.
class crash_detector {
public:
    struct hooks {
        // Called for each request whose answer had not begun when its runner ended. Returns whether the request may be the cause.
        std::function<bool(const runner_crash&)> onCrash;
    };

    // What became of a runner.
    enum class outcome {
        // It runs, or nothing is known of it.
        Running,
        Ended,
        // It ended, and the request may be the cause.
        EndedByRequest,
    };

    // Called once the runner is known to have ended or not, after the hooks of all requests that waited for it.
    using receiver = std::function<void(outcome)>;

    crash_detector(boost::asio::any_io_executor, hooks);

    // The connection to the runner at this address broke before the answer to a request began; `crash` describes the request in case
    // the runner has ended. Opens a connection to the runner unless that is under way.
    void onAttemptBroken(const std::string& address, const runner_crash& crash, receiver);

private:
    struct broken_attempt {
        runner_crash crash;
        receiver onResult;
    };

    struct suspicion {
        time_point startedAt;
        bool hasEnded = false;
        std::vector<broken_attempt> pending;
    };

    void probe(const std::string& address, runner_process_id);
    void onProbed(runner_process_id, bool hasEnded);
    void removeExpired(time_point now);

    boost::asio::any_io_executor m_executor;
    hooks m_hooks;
    std::map<runner_process_id, suspicion> m_suspicions;
};

}
