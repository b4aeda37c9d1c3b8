#pragma once

#include "state/table_transaction.h"

#include <cstdint>

namespace sardinelb {

// A transaction that idempotency_claims wants to be carried out. The answer goes to onTransactionResult() with the
// same number.
struct claim_transaction {
    std::uint64_t number = 0;
    table_transaction transaction;
};

}
