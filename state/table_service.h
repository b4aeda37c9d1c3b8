#pragma once

#include "state/ids.h"
#include "state/state_error.h"
#include "state/table_row.h"
#include "state/table_transaction.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace sardinelb {

// Hooks to the platform's table and object store. Every call blocks until it has an answer or times out.
//
// Errors of every hook: Unavailable (the request had no effect) and, for writes, OutcomeUnknown (it may have had one).
struct table_service {
    // Returns the revision that the written rows have. Error Conflict: a condition did not hold; `subject` is its
    // key, `detail` the value found.
    std::function<state_result<row_revision>(const table_transaction&)> transact;

    // Returns the row, or nothing when it does not exist.
    std::function<state_result<std::optional<table_row>>(const std::string& key)> readRow;

    // Returns at most `limit` rows with `from` <= key < `to`, in key order.
    std::function<state_result<std::vector<table_row>>(const std::string& from, const std::string& to, int limit)>
        readRange;

    std::function<state_result<bool>(const std::string& key, const std::string& value)> putObject;

    // Returns the object, or nothing when it does not exist.
    std::function<state_result<std::optional<std::string>>(const std::string& key)> readObject;
};

}
