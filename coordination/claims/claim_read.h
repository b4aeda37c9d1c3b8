#pragma once

#include <cstdint>
#include <string>

namespace sardinelb {

// A row that idempotency_claims wants to be read. The answer goes to onRowRead() with the same number.
struct claim_read {
    std::uint64_t number = 0;
    std::string key;
};

}
