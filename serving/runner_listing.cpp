#include "serving/runner_listing.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <unordered_set>

namespace sardinelb {

namespace {

// Runners register again within about this time after the store has become reachable again.
constexpr duration reregistrationTime = std::chrono::milliseconds(2100);

// A shorter outage cannot make entries expire: they live for three heartbeats of a second or so.
constexpr duration minExpiringOutage = std::chrono::milliseconds(1000);

}

namespace {

void addToDigest(std::uint64_t& digest, std::string_view text)
{
    // FNV-1a gives equal digests in all processes; std::hash need not.
    constexpr std::uint64_t prime = 1099511628211ULL;
    for (const char c : text)
        digest = (digest ^ static_cast<unsigned char>(c)) * prime;
    digest = (digest ^ 0xff) * prime;
}

std::uint64_t digestOf(const std::vector<listed_runner>& runners)
{
    std::uint64_t digest = 14695981039346656037ULL;
    for (const listed_runner& runner : runners) {
        addToDigest(digest, runner.id.value());
        addToDigest(digest, runner.pool.value());
        addToDigest(digest, runner.address);
        addToDigest(digest, runner.isDraining ? "draining" : "ready");
        addToDigest(digest, std::to_string(runner.startedAtMs));
    }
    return digest;
}

}

void runner_listing::apply(const std::vector<change>& changes, bool isFullSnapshot, time_point now)
{
    std::unordered_set<runner_id> present;
    for (const change& entry : changes) {
        present.insert(entry.id);
        if (entry.runner) {
            m_runners[entry.id] = *entry.runner;
            m_expiryTimes.erase(entry.id);
        } else {
            remove(entry.id, now);
        }
    }
    if (!isFullSnapshot)
        return;
    std::vector<runner_id> missing;
    for (const auto& [id, runner] : m_runners) {
        if (!present.contains(id))
            missing.push_back(id);
    }
    for (const runner_id& id : missing)
        remove(id, now);
}

void runner_listing::remove(const runner_id& id, time_point now)
{
    const auto known = m_runners.find(id);
    if (known == m_runners.end())
        return;
    const bool mayHaveExpired = m_reachableAgainAt && now < *m_reachableAgainAt + reregistrationTime && !known->second.isDraining;
    if (mayHaveExpired) {
        m_expiryTimes.emplace(id, *m_reachableAgainAt + reregistrationTime);
        return;
    }
    m_runners.erase(known);
    m_expiryTimes.erase(id);
}

void runner_listing::onStoreReachabilityChanged(bool isReachable, time_point now)
{
    if (isReachable == m_isReachable)
        return;
    m_isReachable = isReachable;
    if (!isReachable)
        m_unreachableSince = now;
    else if (now - m_unreachableSince >= minExpiringOutage)
        m_reachableAgainAt = now;
}

std::vector<listed_runner> runner_listing::runners(time_point now)
{
    std::erase_if(m_expiryTimes, [&](const auto& entry) {
        if (now < entry.second)
            return false;
        m_runners.erase(entry.first);
        return true;
    });
    // After a crash, the entries of the old and the new process coexist for some seconds.
    std::unordered_map<std::string, const listed_runner*> newest;
    for (const auto& [id, runner] : m_runners) {
        const listed_runner*& at = newest[runner.address];
        if (!at || runner.startedAtMs > at->startedAtMs)
            at = &runner;
    }
    std::vector<listed_runner> result;
    result.reserve(newest.size());
    for (const auto& [address, runner] : newest)
        result.push_back(*runner);
    std::sort(result.begin(), result.end(), [](const listed_runner& a, const listed_runner& b) { return a.id < b.id; });
    m_digest = digestOf(result);
    return result;
}

std::optional<time_point> runner_listing::nextExpiry() const
{
    std::optional<time_point> next;
    for (const auto& [id, until] : m_expiryTimes) {
        if (!next || until < *next)
            next = until;
    }
    return next;
}

}
