#pragma once

#include "state/table_transaction.h"

#include <cstdint>

namespace sardinelb {

// Requests a transaction. The result goes to idempotency_claims::onTransactionResult() with the same number.
struct claim_transaction {
    std::uint64_t number = 0;
    table_transaction transaction;
};

}
