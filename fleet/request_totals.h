#pragma once

#include <cstddef>

namespace sardinelb {

// Counts of an entry's requests that have not ended. Shared by the entry and its requests, since the event loop destroys the last of these
// after the entry when the process ends.
struct request_totals {
    std::size_t activeRequests = 0;
    // Bytes of responses that are held until their end, or until that of an event.
    std::size_t bufferedResponseBytes = 0;
};

}
