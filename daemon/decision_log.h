#pragma once

#include "state/ids.h"

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace sardinelb {

// Most recent decision log lines, for `sardinelb explain`. Bounded and thread-safe.
class decision_log {
public:
    void add(const request_id&, std::string line);

    // Returns the lines of one request, oldest first.
    std::vector<std::string> linesOf(const request_id&) const;

private:
    mutable std::mutex m_mutex;
    std::deque<std::pair<request_id, std::string>> m_lines;
};

}
