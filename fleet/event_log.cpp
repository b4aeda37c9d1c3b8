#include "fleet/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdio>

namespace sardinelb {

namespace {

// Limit per event. An entry serves about 50 requests per second at peak.
constexpr std::uint32_t maxLinesPerSecond = 60;

void appendText(std::string& line, std::string_view text)
{
    line += '"';
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            line += '\\';
            line += c;
        } else if (static_cast<unsigned char>(c) < 0x20) {
            line += ' ';
        } else {
            line += c;
        }
    }
    line += '"';
}

struct value_appender {
    std::string& line;

    void operator()(std::string_view text) const { appendText(line, text); }
    void operator()(std::int64_t number) const { line += std::to_string(number); }
    void operator()(bool flag) const { line += flag ? "true" : "false"; }
    void operator()(double number) const
    {
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%.3f", number);
        line += text.data();
    }
};

std::int64_t unixMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}

event_log::event_log(std::string daemon)
    : m_daemon(std::move(daemon))
{
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    m_isNonBlocking = flags >= 0 && fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK) == 0;
}

void event_log::write(std::string_view event, std::initializer_list<field> fields)
{
    const std::int64_t now = unixMilliseconds();
    line_budget& budget = m_lineBudgets[std::string(event)];
    if (budget.second != now / 1000) {
        budget.second = now / 1000;
        budget.usedLines = 0;
    }
    if (++budget.usedLines > maxLinesPerSecond) {
        ++budget.droppedLines;
        return;
    }
    std::string line = "{\"at_ms\":" + std::to_string(now) + ",\"daemon\":";
    appendText(line, m_daemon);
    line += ",\"event\":";
    appendText(line, event);
    for (const field& item : fields) {
        line += ',';
        appendText(line, item.name);
        line += ':';
        std::visit(value_appender { line }, item.value);
    }
    if (budget.droppedLines > 0)
        line += ",\"left_out\":" + std::to_string(budget.droppedLines);
    line += "}\n";
    const ssize_t written = ::write(STDOUT_FILENO, line.data(), line.size());
    // A full pipe drops the line; the next line of the event reports it in `left_out`.
    budget.droppedLines = written < 0 ? budget.droppedLines + 1 : 0;
}

}
