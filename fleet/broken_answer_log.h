#pragma once

#include "state/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace sardinelb {

class event_log;
class process_metrics;

// Counts the answers of runners, the store and other entries that cannot be used, and logs them. Each question and reason gets a
// line a second at most, which says how many there were since the line before.
class broken_answer_log {
public:
    broken_answer_log(event_log&, process_metrics&);

    // `question` is what was asked, such as "report", and `reason` why the answer is none, such as "body_too_long".
    void record(std::string_view question, std::string_view reason);

private:
    struct line_state {
        time_point nextLineAt;
        std::int64_t answers = 0;
    };

    event_log& m_log;
    process_metrics& m_metrics;
    std::map<std::pair<std::string, std::string>, line_state> m_lines;
};

}
