#pragma once

#include "coordination/coordination_error.h"
#include "coordination/maps/map_decision.h"
#include "coordination/maps/map_proposal.h"
#include "state/ids.h"

#include <optional>
#include <string>

namespace sardinelb {

// Keys of the rows of one rank group. Versions and ranks have leading zeros, so that key order is their order.
std::string mapLeaseKey(const group_id&);
std::string mapProposalKey(const group_id&, map_version);
std::string mapDecisionKey(const group_id&, map_version);
std::string mapRankKey(const group_id&, rank_id);

// Bounds of a range that holds all decisions and proposals of the group; `to` is exclusive. It also holds the lease.
std::string mapHistoryFrom(const group_id&);
std::string mapHistoryTo(const group_id&);

// Whether the key is that of a proposal or a decision of the group.
bool isMapProposalKey(const group_id&, const std::string& key);
bool isMapDecisionKey(const group_id&, const std::string& key);

// Returns the rank whose registration row has the key, or nothing when it is another key.
std::optional<rank_id> rankOfMapRankKey(const group_id&, const std::string& key);

// Values of the rows, as JSON.
std::string toRowValue(const map_proposal&);
std::string toRowValue(const map_decision&);
// Value of a registration row.
std::string toRowValue(incarnation);

// Parse values. Error Invalid: `subject` is the key.
coordination_result<map_proposal> parseMapProposal(const std::string& key, const std::string& value);
coordination_result<map_decision> parseMapDecision(const std::string& key, const std::string& value);
coordination_result<incarnation> parseMapRank(const std::string& key, const std::string& value);

}
