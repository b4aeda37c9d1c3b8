#include "serving/runner_followers.h"

#include "serving/stable_hash.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>

namespace sardinelb {

namespace {

// Number of runners that an entry follows on average in a large fleet. Callers are spread unevenly over the entries, so an
// entry needs several times its even share of the runners.
constexpr std::size_t runnersPerEntry = 40;

// Lower bound, so that a runner stays in use when some of its followers fail.
constexpr std::size_t minFollowers = 4;

std::uint64_t hashOf(const std::string& text)
{
    stable_hash hash;
    hash.add(text);
    return hash.value();
}

// Mixes the bits of two hashes, as the finalizer of MurmurHash3 does.
std::uint64_t combined(std::uint64_t a, std::uint64_t b)
{
    std::uint64_t value = a ^ (b * 0x9e3779b97f4a7c15ULL);
    value = (value ^ (value >> 33)) * 0xff51afd7ed558ccdULL;
    value = (value ^ (value >> 33)) * 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33);
}

}

std::size_t followersPerRunner(std::size_t runners, std::size_t entries)
{
    if (runners == 0)
        return entries;
    const std::size_t share = (runnersPerEntry * entries + runners - 1) / runners;
    return std::min(entries, std::max(minFollowers, share));
}

std::size_t followerPosition(const std::string& runner, const std::string& self, const std::vector<std::string>& entries)
{
    const std::uint64_t runnerHash = hashOf(runner);
    const std::uint64_t own = combined(runnerHash, hashOf(self));
    const auto isAhead = [&](const std::string& entry) { return entry != self && combined(runnerHash, hashOf(entry)) > own; };
    return static_cast<std::size_t>(std::count_if(entries.begin(), entries.end(), isAhead));
}

follower_share followerShare(const std::string& runner, const std::string& self, const std::unordered_map<std::string, double>& shares, std::size_t followers)
{
    const std::uint64_t runnerHash = hashOf(runner);
    const std::uint64_t own = combined(runnerHash, hashOf(self));
    std::vector<std::pair<std::uint64_t, double>> others;
    for (const auto& [entry, share] : shares) {
        if (entry != self)
            others.emplace_back(combined(runnerHash, hashOf(entry)), share);
    }
    const std::size_t count = std::min(others.size(), std::max<std::size_t>(followers, 1) - 1);
    std::partial_sort(others.begin(), others.begin() + static_cast<std::ptrdiff_t>(count), others.end(), std::greater<>());
    const auto found = shares.find(self);
    const double ownShare = found == shares.end() ? 0 : found->second;
    double total = ownShare;
    double preceding = 0;
    for (std::size_t i = 0; i < count; ++i) {
        total += others[i].second;
        preceding += others[i].first > own ? others[i].second : 0;
    }
    return total > 0 ? follower_share { ownShare / total, preceding / total } : follower_share {};
}

std::unordered_set<std::string> followedRunners(const std::vector<std::string>& runners, const std::string& self, const std::vector<std::string>& entries)
{
    const std::size_t followers = followersPerRunner(runners.size(), entries.size());
    std::vector<std::uint64_t> otherHashes;
    for (const std::string& entry : entries) {
        if (entry != self)
            otherHashes.push_back(hashOf(entry));
    }
    const std::uint64_t selfHash = hashOf(self);
    std::unordered_set<std::string> followed;
    for (const std::string& runner : runners) {
        const std::uint64_t runnerHash = hashOf(runner);
        const std::uint64_t own = combined(runnerHash, selfHash);
        const auto ahead = std::count_if(otherHashes.begin(), otherHashes.end(), [&](std::uint64_t other) { return combined(runnerHash, other) > own; });
        if (static_cast<std::size_t>(ahead) < followers)
            followed.insert(runner);
    }
    return followed;
}

}
