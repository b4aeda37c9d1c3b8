#pragma once

#include <cstddef>
#include <string>
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

// Number of entries that follow each runner.
std::size_t followersPerRunner(std::size_t runners, std::size_t entries);

}
