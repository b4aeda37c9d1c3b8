#include "serving/runner_listing.h"

#include "serving/stable_hash.h"

#include <algorithm>
#include <string>
#include <unordered_set>

namespace sardinelb {

namespace {

// Runners register again within about this time after the store has become reachable again.
constexpr duration reregistrationTime = std::chrono::milliseconds(2100);

// A shorter outage cannot make entries expire: they live for three heartbeats of a second or so.
constexpr duration minExpiringOutage = std::chrono::milliseconds(1000);

std::uint64_t digestOf(const std::vector<listed_runner>& runners)
{
    stable_hash digest;
    for (const listed_runner& runner : runners) {
        digest.add(runner.id.value());
        digest.add(runner.pool.value());
        digest.add(runner.address);
        digest.add(runner.isDraining ? "draining" : "ready");
        digest.add(std::to_string(runner.startedAtMs));
    }
    return digest.value();
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
