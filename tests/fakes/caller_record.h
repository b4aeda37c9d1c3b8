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

// A caller with its request and everything that it received.
struct caller_record {
    caller_request request;
    request_kind kind = request_kind::ChatStream;
    std::size_t entry = 0;
    std::string receivedBody;
    std::uint32_t tokens = 0;
    int finalActions = 0;
    bool completed = false;
    std::optional<caller_error> error;
    // Number of parts out of order or after the end of the answer.
    int misplacedParts = 0;
    // The caller closed its connection.
    bool disconnected = false;
    // The entry died while the request was open, or was not running when it arrived.
    bool entryDied = false;
    // The request arrived during a planned stop of the entry.
    bool arrivedAtStop = false;
};

}
