#pragma once

#include "coordination/coordination_error.h"
#include "coordination/maps/map_table_request.h"
#include "state/ids.h"
#include "state/table_row.h"

#include <string>
#include <vector>

namespace sardinelb {

class map_history;

// Reads the proposals and decisions of a group page by page.
class map_history_reader {
public:
    explicit map_history_reader(const group_id&);

    // The next read to issue; the caller sets the id.
    map_table_request nextRequest() const;

    // Adds the rows to the history. Returns whether this was the last page. Error Invalid: a row cannot be parsed.
    // `subject` is its key.
    coordination_result<bool> addPage(const std::vector<table_row>&, map_history&);

private:
    group_id m_group;
    std::string m_from;
};

}
