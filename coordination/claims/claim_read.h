#pragma once

#include <cstdint>
#include <string>

namespace sardinelb {

// Requests the read of a row. The result goes to idempotency_claims::onRowRead() with the same number.
struct claim_read {
    std::uint64_t number = 0;
    std::string key;
};

}
