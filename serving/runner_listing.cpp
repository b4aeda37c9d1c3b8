#include "serving/runner_listing.h"

#include "serving/stable_hash.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <unordered_set>
#include <utility>

namespace sardinelb {

namespace {

// Runners register again within about this time after the store has become reachable again.
constexpr duration reregistrationTime = std::chrono::milliseconds(2100);

// A shorter outage cannot make entries expire: they live for three heartbeats of a second or so.
constexpr duration minExpiringOutage = std::chrono::milliseconds(1000);

// A copy from which the store is restored is not older than this.
constexpr duration removedMemory = std::chrono::minutes(10);

// All entries choose the same of two rows, in whatever order these have arrived.
bool isNewer(const listed_runner& a, const listed_runner& b)
{
    return std::tie(a.startedAtMs, a.id) > std::tie(b.startedAtMs, b.id);
}

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

std::vector<runner_id> runner_listing::apply(const std::vector<change>& changes, bool isFullSnapshot, time_point now, store_epoch epoch)
{
    onEpoch(epoch, now);
    std::vector<runner_id> ignored;
    std::unordered_set<runner_id> present;
    for (const change& entry : changes) {
        present.insert(entry.id);
        if (isFullSnapshot && isBroughtBack(entry, epoch)) {
            ignored.push_back(entry.id);
            m_expiryTimes.erase(entry.id);
        } else if (entry.runner) {
            set(*entry.runner, epoch);
        } else {
            remove(entry.id, now);
        }
    }
    if (!isFullSnapshot)
        return ignored;
    std::vector<runner_id> missing;
    for (const auto& [id, runner] : m_runners) {
        if (!present.contains(id))
            missing.push_back(id);
    }
    for (const runner_id& id : missing)
        remove(id, now);
    return ignored;
}

void runner_listing::onEpoch(store_epoch epoch, time_point now)
{
    if (m_epoch && epoch <= *m_epoch)
        return;
    // Runners that registered after the copy was made register again.
    if (m_epoch)
        m_reachableAgainAt = now;
    m_epoch = epoch;
}

bool runner_listing::isBroughtBack(const change& entry, store_epoch epoch) const
{
    const auto known = m_lastReports.find(entry.id);
    if (!entry.runner || known == m_lastReports.end() || epoch <= known->second.epoch)
        return false;
    const last_report& last = known->second;
    const std::pair restored(entry.runner->startedAtMs, entry.runner->reportNumber);
    const std::pair reported(last.startedAtMs, last.number);
    return restored < reported || (last.removedAt && restored == reported);
}

void runner_listing::set(const listed_runner& runner, store_epoch epoch)
{
    m_runners[runner.id] = runner;
    m_expiryTimes.erase(runner.id);
    m_lastReports[runner.id] = { runner.startedAtMs, runner.reportNumber, epoch, std::nullopt };
}

void runner_listing::remove(const runner_id& id, time_point now)
{
    const auto known = m_runners.find(id);
    if (known == m_runners.end())
        return;
    const bool mayHaveExpired = m_reachableAgainAt && now < *m_reachableAgainAt + reregistrationTime && !known->second.isDraining;
    if (mayHaveExpired)
        m_expiryTimes.emplace(id, *m_reachableAgainAt + reregistrationTime);
    else
        erase(id, now);
}

void runner_listing::erase(const runner_id& id, time_point now)
{
    m_runners.erase(id);
    m_expiryTimes.erase(id);
    last_report& last = m_lastReports[id];
    last.epoch = m_epoch.value_or(store_epoch {});
    last.removedAt = now;
    std::erase_if(m_lastReports, [&](const auto& report) { return report.second.removedAt && now - *report.second.removedAt > removedMemory; });
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
    std::vector<runner_id> expired;
    for (const auto& [id, until] : m_expiryTimes) {
        if (now >= until)
            expired.push_back(id);
    }
    for (const runner_id& id : expired)
        erase(id, now);
    // After a crash, the entries of the old and the new process coexist for some seconds.
    std::unordered_map<std::string, const listed_runner*> newest;
    for (const auto& [id, runner] : m_runners) {
        const listed_runner*& at = newest[runner.address];
        if (!at || isNewer(runner, *at))
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
