#pragma once

#include "coordination/coordination_error.h"
#include "coordination/maps/map_decision.h"
#include "coordination/maps/map_proposal.h"
#include "state/ids.h"

#include <optional>
#include <string>

namespace sardinelb {

// Keys of the table rows of a rank group. Versions and ranks are zero-padded so that rows sort by number.
std::string mapLeaseKey(const group_id&);
std::string mapProposalKey(const group_id&, map_version);
std::string mapDecisionKey(const group_id&, map_version);
std::string mapRankKey(const group_id&, rank_id);

// Bounds of the key range that contains all decisions and proposals of the group, and also the lease. The end is
// exclusive.
std::string mapHistoryBegin(const group_id&);
std::string mapHistoryEnd(const group_id&);

// Whether the key belongs to a proposal or a decision of the group.
bool isMapProposalKey(const group_id&, const std::string& key);
bool isMapDecisionKey(const group_id&, const std::string& key);

// Returns the rank whose registration row has this key, or nothing if it is not the key of a registration row.
std::optional<rank_id> parseMapRankKey(const group_id&, const std::string& key);

// Values of the rows, as JSON.
std::string toRowValue(const map_proposal&);
std::string toRowValue(const map_decision&);
// Value of a registration row.
std::string toRowValue(incarnation);

// Parse the values of rows. Error Invalid: the value is malformed. `subject` is the key.
coordination_result<map_proposal> parseMapProposal(const std::string& key, const std::string& value);
coordination_result<map_decision> parseMapDecision(const std::string& key, const std::string& value);
coordination_result<incarnation> parseMapRank(const std::string& key, const std::string& value);

}
