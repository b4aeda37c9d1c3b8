#pragma once

#include "serving/follower_share.h"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace sardinelb {

// Selects the runners whose load an entry follows and to which it sends its requests. In a small fleet each entry follows
// all runners. In a large one each runner is followed by a part of the entries, so that the messages of an entry and of an
// agent do not grow with the fleet.
//
// Each runner is followed by the entries with the highest hashes of both addresses. Every runner has followers, and few
// assignments change when an entry comes or goes. `entries` are the addresses of all live entries, including `self`.
std::unordered_set<std::string> followedRunners(const std::vector<std::string>& runners, const std::string& self, const std::vector<std::string>& entries);

// Position of an entry, from 0, in an order of all entries that differs from runner to runner. The followers come first.
std::size_t followerPosition(const std::string& runner, const std::string& self, const std::vector<std::string>& entries);

// Part of the demand for a runner that comes from the entry `self`, if each entry's demand is divided evenly among the runners
// that it follows. `shares` are the shares of all entries in the demand for all runners, by address. An entry that does not follow the runner
// counts as the last of its followers.
follower_share followerShare(const std::string& runner, const std::string& self, const std::unordered_map<std::string, double>& shares, std::size_t followers);

// Number of entries that follow each runner.
std::size_t followersPerRunner(std::size_t runners, std::size_t entries);

}
