#pragma once

#include "coordination/entry/caller_error.h"
#include "coordination/entry/caller_request.h"
#include "state/time.h"
#include "tests/fakes/request_kind.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace sardinelb::fakes {

// One caller and all that it was told.
struct caller_record {
    caller_request request;
    request_kind kind = request_kind::ChatStream;
    std::size_t entry = 0;
    std::string onMessage;
    std::uint32_t tokens = 0;
    int finalActions = 0;
    bool completed = false;
    std::optional<caller_error> error;
    // Parts that were not the next ones, or came after the end.
    int misplacedParts = 0;
    // The caller closed its connection.
    bool left = false;
    // The entry ended while the request was open, or was not there to accept it.
    bool entryDied = false;
    // The entry was in a planned stop when the request arrived.
    bool arrivedAtStop = false;
};

}
