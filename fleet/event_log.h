#pragma once

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>

namespace sardinelb {

// Writes structured log lines, one JSON object each, to standard output. Never blocks: a line that does not fit is dropped.
// Each kind of line has a rate of its own; what is left out is counted in the next line of the kind.
class event_log {
public:
    struct field {
        std::string_view name;
        std::variant<std::string_view, std::int64_t, double, bool> value;
    };

    explicit event_log(std::string daemon);

    void write(std::string_view event, std::initializer_list<field>);

private:
    struct allowance {
        std::int64_t second = 0;
        std::uint32_t used = 0;
        std::uint64_t leftOut = 0;
    };

    std::string m_daemon;
    std::unordered_map<std::string, allowance> m_allowances;
    bool m_isNonBlocking = false;
};

}
