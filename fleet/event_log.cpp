#include "fleet/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cmath>
#include <cstdio>

namespace sardinelb {

namespace {

// Limit per event. An entry serves about 50 requests per second at peak.
constexpr std::uint32_t maxLinesPerSecond = 60;

// Number of bytes of the character that `text` begins with, or 0 if it begins with none in UTF-8.
std::size_t characterLength(std::string_view text)
{
    constexpr std::array<unsigned char, 3> leads { 0xc0, 0xe0, 0xf0 };
    constexpr std::array<std::uint32_t, 3> lowest { 0x80, 0x800, 0x10000 };
    const auto first = static_cast<unsigned char>(text.front());
    if (first < 0x80)
        return 1;
    if (first < leads.front() || first > 0xf7)
        return 0;
    const std::size_t extra = first >= leads[2] ? 3 : first >= leads[1] ? 2
                                                                        : 1;
    std::uint32_t character = first & (0x3fU >> extra);
    for (std::size_t i = 1; i <= extra; ++i) {
        const unsigned char next = i < text.size() ? static_cast<unsigned char>(text[i]) : 0;
        if ((next & 0xc0U) != 0x80)
            return 0;
        character = (character << 6U) | (next & 0x3fU);
    }
    const bool isSurrogate = character >= 0xd800 && character <= 0xdfff;
    return character < lowest.at(extra - 1) || character > 0x10ffff || isSurrogate ? 0 : extra + 1;
}

void appendText(std::string& line, std::string_view text)
{
    line += '"';
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        const std::size_t length = characterLength(text.substr(i));
        if (length != 1) {
            line += length == 0 ? "?" : text.substr(i, length);
            i += length == 0 ? 0 : length - 1;
            continue;
        }
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
        // Larger numbers don't fit the buffer in full.
        constexpr double maxPlainNumber = 1e15;
        if (!std::isfinite(number)) {
            line += "null";
            return;
        }
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), std::abs(number) < maxPlainNumber ? "%.3f" : "%.6g", number);
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
