#pragma once

#include "state/ids.h"

#include <compare>
#include <cstdint>
#include <functional>

namespace sardinelb {

// One attempt to run a request on one runner. The attempts of a request are numbered from 1.
struct attempt_id {
    request_id request;
    std::uint32_t number = 0;

    friend auto operator<=>(const attempt_id&, const attempt_id&) = default;
    friend bool operator==(const attempt_id&, const attempt_id&) = default;
};

}

template <>
struct std::hash<sardinelb::attempt_id> {
    std::size_t operator()(const sardinelb::attempt_id& attempt) const
    {
        constexpr std::size_t mixer = 0x9e3779b97f4a7c15ULL;
        return std::hash<sardinelb::request_id>()(attempt.request) ^ (mixer * attempt.number);
    }
};
