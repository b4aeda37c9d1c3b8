#include "coordination/maps/map_history_reader.h"

#include "coordination/maps/map_history.h"
#include "coordination/maps/map_rows.h"

#include <boost/outcome/try.hpp>

namespace sardinelb {

namespace {

// Two commits (a proposal and a decision each) and an undecided proposal take five rows, and the lease row lies in the
// same range; the rest is for aborted proposals.
constexpr int maxRowsPerPage = 32;

}

map_history_reader::map_history_reader(const group_id& group)
    : m_group(group)
    , m_from(mapHistoryBegin(group))
{
}

map_table_request map_history_reader::nextRequest() const
{
    map_table_request request;
    request.access = map_table_request::kind::ReadRange;
    request.from = m_from;
    request.to = mapHistoryEnd(m_group);
    request.limit = maxRowsPerPage;
    return request;
}

coordination_result<bool> map_history_reader::addPage(const std::vector<table_row>& rows, map_history& history)
{
    for (const table_row& row : rows) {
        BOOST_OUTCOME_TRY(history.addRow(m_group, row));
    }
    if (rows.size() < maxRowsPerPage)
        return true;
    // The smallest key after the last one.
    m_from = rows.back().key + '\0';
    return false;
}

}
