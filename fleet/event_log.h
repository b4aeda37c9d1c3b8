#pragma once

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>

namespace sardinelb {

// Writes structured log lines, one JSON object each, to standard output. Never blocks: a line that the pipe has no space for
// is dropped. Each event has its own rate limit; the next line of the event states how many lines were dropped.
class event_log {
public:
    struct field {
        std::string_view name;
        std::variant<std::string_view, std::int64_t, double, bool> value;
    };

    explicit event_log(std::string daemon);

    void write(std::string_view event, std::initializer_list<field>);

private:
    struct line_budget {
        std::int64_t second = 0;
        std::uint32_t usedLines = 0;
        std::uint64_t droppedLines = 0;
    };

    std::string m_daemon;
    std::unordered_map<std::string, line_budget> m_lineBudgets;
    bool m_isNonBlocking = false;
};

}
