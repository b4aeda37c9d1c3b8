#include "fleet/broken_answer_log.h"

#include "fleet/event_log.h"
#include "fleet/process_metrics.h"
#include "fleet/steady_time.h"

namespace sardinelb {

namespace {

constexpr duration lineInterval = std::chrono::seconds(1);

}

broken_answer_log::broken_answer_log(event_log& log, process_metrics& metrics)
    : m_log(log)
    , m_metrics(metrics)
{
}

void broken_answer_log::record(std::string_view question, std::string_view reason)
{
    const std::pair key { std::string(question), std::string(reason) };
    m_metrics.countBrokenAnswer(key.first, key.second);
    line_state& line = m_lines[key];
    ++line.answers;
    const time_point now = steadyNow();
    if (now < line.nextLineAt)
        return;
    m_log.write("answer_broken", { { "question", question }, { "reason", reason }, { "answers", line.answers } });
    line = { now + lineInterval, 0 };
}

}
