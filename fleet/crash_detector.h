#pragma once

#include "serving/runner_crash.h"
#include "state/ids.h"
#include "state/time.h"

#include <functional>
#include <map>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

namespace sardinelb {

struct listed_runner;

// Finds out whether a runner has ended when connections to it break before its answers have begun. Connections are also reset one by
// one, so a broken one shows nothing; a runner that has ended refuses new ones.
class crash_detector {
public:
    // Called for each request whose answer had not begun when its runner ended.
    using receiver = std::function<void(const runner_crash&)>;

    crash_detector(boost::asio::any_io_executor, receiver);

    // The connection to a runner broke before the answer to a request with these prompt parts began. Opens a connection to the runner
    // unless that is under way.
    void onAttemptBroken(const listed_runner&, const std::vector<prompt_part_id>&);

private:
    struct suspicion {
        time_point startedAt;
        bool hasEnded = false;
        std::vector<runner_crash> pending;
    };

    void probe(const std::string& address, crash_id);
    void onProbed(crash_id, bool hasEnded);
    void removeExpired(time_point now);

    boost::asio::any_io_executor m_executor;
    receiver m_onCrash;
    std::map<crash_id, suspicion> m_suspicions;
};

}
