#pragma once

#include "state/table_row.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sardinelb {
struct table_transaction;
}

namespace sardinelb::stand_ins {

// Rows and objects of the table service. Revisions of committed transactions increase, and a row has the revision of
// the transaction that wrote it.
class table_store {
public:
    struct transact_result {
        // Revision of the transaction; 0 if a condition failed.
        row_revision revision;
        // The row of the first failed condition; revision 0 means that the row does not exist.
        std::optional<table_row> failed;
    };

    // Applies all changes, or none if a condition fails.
    transact_result transact(const table_transaction&);

    std::optional<table_row> row(const std::string& key) const;

    // Returns at most `limit` rows with `from` <= key < `to`, ordered by key.
    std::vector<table_row> range(const std::string& from, const std::string& to, std::size_t limit) const;

    void putObject(const std::string& key, std::string value);
    std::optional<std::string> object(const std::string& key) const;

private:
    table_row rowOrAbsent(const std::string& key) const;

    std::map<std::string, table_row> m_rows;
    std::map<std::string, std::string> m_objects;
    std::uint64_t m_lastRevision = 0;
};

}
