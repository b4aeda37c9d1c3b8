#include "serving/runner_directory.h"

#include "serving/load_estimate.h"
#include "serving/runner_choice.h"
#include "serving/runner_followers.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <utility>

namespace sardinelb {

namespace {

// Weight of a new value in the moving averages.
constexpr double smoothingFactor = 0.2;

// Backoff after a failure of a runner; doubles with each consecutive failure.
constexpr duration initialBackoff = std::chrono::milliseconds(250);
constexpr duration maxBackoff = std::chrono::seconds(4);

// Agents report ten times a second. If none has reported an open group for this long while others report, all groups are closed.
constexpr duration openReportLifetime = std::chrono::milliseconds(300);

// Agents report to an entry within 0.2 s after it learned of a new process. After this time the runner is used without a
// load report, since its agent may be down.
constexpr duration firstReportTimeout = std::chrono::milliseconds(800);

// Up to this fraction of its limit, a group takes requests of any entry.
constexpr double busyFraction = 0.8;

// A single rank may exceed the limit of its group by this factor, because loads differ for a moment.
constexpr double rankLimitMargin = 1.25;

// Each entry samples its share of the runners without load reports, but on average no fewer than this.
constexpr std::size_t minSampledRunners = 4;

// Used until a time to first byte has been measured in the pool.
constexpr double defaultTimeToFirstByteMs = 200;

// Used until a response of the pool has completed.
constexpr double defaultServiceMs = 2000;

// What a cold runner bears is counted in windows of a second, here with a margin for timers that fire late.
constexpr duration coldRateWindow = std::chrono::milliseconds(1050);

// The list shows within this time that a process has started again.
constexpr duration restartListedTime = std::chrono::seconds(10);

// A runner that is cold for longer says so again. Bounds the effect of a wrong statement.
constexpr duration maxColdTime = std::chrono::minutes(1);

// A runner with this many times the requests that it runs at once is far beyond what entries send it on purpose.
constexpr std::uint32_t overrunFactor = 3;

double smoothed(double before, double value)
{
    return before + smoothingFactor * (value - before);
}

}

runner_directory::runner_directory(random_source random)
    : m_random(std::move(random))
{
}

void runner_directory::setRunners(const std::vector<listed_runner>& listings, time_point now)
{
    std::unordered_map<runner_id, runner_record> known;
    m_byPool.clear();
    m_byProcess.clear();
    for (const listed_runner& listing : listings) {
        runner_record record;
        record.listedAt = now;
        const auto before = m_runners.find(listing.id);
        const bool isSameProcess = before != m_runners.end() && before->second.listing.startedAtMs == listing.startedAtMs
            && before->second.listing.address == listing.address;
        if (isSameProcess)
            record = before->second;
        else if (before != m_runners.end()) {
            record.inFlight = before->second.inFlight;
            record.limit.setLastSentAt(before->second.limit.lastSentAt());
        } else if (const auto removed = m_lastSentToRemoved.find(listing.id); removed != m_lastSentToRemoved.end())
            record.limit.setLastSentAt(removed->second);
        const bool isNewReport = !isSameProcess || record.listing.reportNumber != listing.reportNumber;
        record.listing = listing;
        if (!isSameProcess)
            beginWarmUp(record, now);
        const warm_up_limit* warmUp = warmUpOf(listing.pool);
        if (isNewReport && listing.coldTimeLeft > duration {} && warmUp)
            record.limit.onCold(coldUntil({ processOf(listing), listing.coldTimeLeft }, *warmUp, now));
        record.isFollowed = !engineOf(listing.pool) || !m_followed || m_followed->contains(listing.address);
        m_byPool[listing.pool].push_back(listing.id);
        m_byProcess[processOf(listing)] = listing.id;
        known.emplace(listing.id, std::move(record));
    }
    rememberRemoved(known, now);
    m_runners = std::move(known);
    updateFollowerShares();
}

void runner_directory::rememberRemoved(const std::unordered_map<runner_id, runner_record>& known, time_point now)
{
    for (const auto& [id, record] : m_runners) {
        if (record.limit.lastSentAt() && !known.contains(id))
            m_lastSentToRemoved[id] = *record.limit.lastSentAt();
    }
    std::erase_if(m_lastSentToRemoved, [&](const auto& entry) { return now - entry.second > coldRateWindow || known.contains(entry.first); });
}

void runner_directory::setFollowed(const std::unordered_set<std::string>& addresses)
{
    m_followed = addresses;
    for (auto& [id, record] : m_runners)
        record.isFollowed = !engineOf(record.listing.pool) || addresses.contains(record.listing.address);
}

void runner_directory::setDemandShares(std::unordered_map<std::string, double> byEntry)
{
    m_demandShares = std::move(byEntry);
    updateFollowerShares();
}

void runner_directory::updateFollowerShares()
{
    if (m_demandShares.empty())
        return;
    const std::vector<std::string> addresses = modelRunnerAddresses();
    const std::size_t followers = followersPerRunner(addresses.size(), m_demandShares.size());
    for (auto& [id, record] : m_runners) {
        if (record.isFollowed && engineOf(record.listing.pool))
            record.share = followerShare(record.listing.address, m_self, m_demandShares, followers);
    }
}

std::vector<std::string> runner_directory::modelRunnerAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto& [id, record] : m_runners) {
        if (engineOf(record.listing.pool))
            addresses.push_back(record.listing.address);
    }
    return addresses;
}

bool runner_directory::isZoneEvacuated(const runner_record& record) const
{
    return m_evacuatedZones.contains(record.listing.zone);
}

bool runner_directory::isStaying(const runner_record& record) const
{
    return !record.listing.isDraining && !isZoneEvacuated(record) && !record.isLeaving && !record.isReplaced;
}

bool runner_directory::isPoolEvacuated(const pool_id& pool) const
{
    const auto members = m_byPool.find(pool);
    if (members == m_byPool.end())
        return false;
    const std::vector<runner_id>& ids = members->second;
    const bool isAnyStaying = std::any_of(ids.begin(), ids.end(), [&](const runner_id& id) { return isStaying(m_runners.at(id)); });
    return !isAnyStaying && std::any_of(ids.begin(), ids.end(), [&](const runner_id& id) { return isZoneEvacuated(m_runners.at(id)); });
}

void runner_directory::setEngine(const pool_id& pool, const std::optional<engine_profile>& engine)
{
    m_engines[pool] = engine;
}

const engine_profile* runner_directory::engineOf(const pool_id& pool) const
{
    const auto found = m_engines.find(pool);
    return found == m_engines.end() || !found->second ? nullptr : &*found->second;
}

runner_record* runner_directory::findRecord(const runner_id& id)
{
    const auto found = m_runners.find(id);
    return found == m_runners.end() ? nullptr : &found->second;
}

runner_record* runner_directory::findRecord(runner_process_id process)
{
    const auto known = m_byProcess.find(process);
    return known == m_byProcess.end() ? nullptr : &m_runners.at(known->second);
}

const runner_record* runner_directory::find(const runner_id& id) const
{
    const auto found = m_runners.find(id);
    return found == m_runners.end() ? nullptr : &found->second;
}

void runner_directory::onLoadReport(const rank_load& report, time_point now)
{
    runner_record* record = findRecord(report.runner);
    if (!record)
        return;
    const bool isOtherProcess = report.startedAtMs != 0 && record->listing.startedAtMs != 0 && report.startedAtMs != record->listing.startedAtMs;
    record->isReplaced = record->isReplaced || isOtherProcess;
    pool_reports& reports = m_reports[record->listing.pool];
    (report.isGroupOpen ? reports.openAt : reports.closedAt) = now;
    const bool hasGroupOpened = report.isGroupOpen && (!record->load || !record->load->isGroupOpen);
    if (hasGroupOpened) {
        // Failures while the group was forming say nothing about its present state.
        record->backoffUntil = {};
        record->consecutiveFailures = 0;
        beginWarmUp(*record, now);
    }
    record->load = runner_record::load_sample { report.running + report.waiting, report.running, record->inFlight, 0, now, report.pace, report.isGroupOpen };
    record->group = report.group;
    record->rank = report.rank;
}

double runner_directory::objectiveLimit(const group_id& group, const engine_profile& engine) const
{
    const auto known = m_groups.find(group);
    return known == m_groups.end() ? engine.slots : std::min<double>(engine.slots, known->second.requestsPerRank());
}

double runner_directory::limitPerRank(const runner_record& record, const engine_profile& engine) const
{
    return m_clearingBacklog.contains(record.listing.pool) ? engine.slots : objectiveLimit(record.group, engine);
}

void runner_directory::setClearingBacklog(const pool_id& pool, bool isClearing)
{
    if (isClearing)
        m_clearingBacklog.insert(pool);
    else
        m_clearingBacklog.erase(pool);
}

std::uint32_t runner_directory::requestLimit(const runner_record& record) const
{
    const engine_profile* engine = engineOf(record.listing.pool);
    if (!engine)
        return std::numeric_limits<std::uint32_t>::max();
    const double limit = limitPerRank(record, *engine) * rankLimitMargin;
    return std::min(engine->slots, static_cast<std::uint32_t>(std::ceil(limit)));
}

std::unordered_map<group_id, runner_directory::group_use> runner_directory::groupUse(const pool_id& pool, const engine_profile& engine, time_point now) const
{
    std::unordered_map<group_id, group_use> groups;
    const auto members = m_byPool.find(pool);
    if (members == m_byPool.end())
        return groups;
    double followed = 0;
    for (const runner_id& id : members->second) {
        const runner_record& record = m_runners.at(id);
        group_use& use = groups[record.group];
        use.ownInFlight += record.inFlight;
        use.limitPerRank = limitPerRank(record, engine);
        if (!record.isFollowed)
            continue;
        ++followed;
        ++use.followedRanks;
        if (!record.hasRecentLoad(now))
            continue;
        ++use.reportingRanks;
        use.estimatedLoad += record.estimatedLoad(now);
    }
    for (auto& [group, use] : groups) {
        const double limit = use.limitPerRank;
        const bool isBusy = use.estimatedLoad > busyFraction * limit * use.reportingRanks;
        // Entries follow random runners, so the followed ones are divided among the groups like all.
        const double ranks = followed > 0 ? static_cast<double>(members->second.size()) * use.followedRanks / followed : 0;
        const double share = m_demandShare * ranks * limit;
        use.remainingShare = isBusy ? share - use.ownInFlight : std::numeric_limits<double>::infinity();
    }
    return groups;
}

bool runner_directory::isAwaitingFirstReport(const runner_record& record, time_point now) const
{
    const bool hasAgent = engineOf(record.listing.pool) != nullptr;
    return hasAgent && !record.load && now - record.listedAt < firstReportTimeout;
}

exclusion_reason runner_directory::exclusionOf(const runner_record& record, time_point now) const
{
    // After a power loss, the list may still name processes that are gone while the groups of the new ones are forming.
    if (isAwaitingFirstReport(record, now))
        return exclusion_reason::AwaitingFirstReport;
    if (record.listing.isDraining)
        return exclusion_reason::Draining;
    if (isZoneEvacuated(record))
        return exclusion_reason::ZoneEvacuated;
    if (record.isLeaving)
        return exclusion_reason::Leaving;
    if (record.isReplaced)
        return exclusion_reason::Replaced;
    if (now < record.backoffUntil)
        return exclusion_reason::BackingOff;
    if (now < record.pausedUntil)
        return exclusion_reason::PauseRequested;
    if (sendable(record, now) == 0U)
        return exclusion_reason::RateLimited;
    return isGroupClosed(record, now) ? exclusion_reason::GroupNotOpen : exclusion_reason::None;
}

bool runner_directory::isGroupClosed(const runner_record& record, time_point now) const
{
    if (record.load && now - record.load->at <= maxBackoff)
        return !record.load->isGroupOpen;
    // The agent of a runner that has reported before may be down while its group is open.
    if (record.load && record.isFollowed)
        return false;
    // Without this, entries would turn to the ranks that they don't follow while all groups are forming.
    const auto known = m_reports.find(record.listing.pool);
    if (known == m_reports.end())
        return false;
    const pool_reports& reports = known->second;
    return now - reports.closedAt <= maxBackoff && reports.closedAt - reports.openAt > openReportLifetime;
}

time_point runner_directory::pausedUntil(const pool_id& pool, time_point now) const
{
    const auto members = m_byPool.find(pool);
    std::optional<time_point> earliest;
    for (const runner_id& id : members == m_byPool.end() ? std::vector<runner_id>() : members->second) {
        const runner_record& record = m_runners.at(id);
        if (isStaying(record))
            earliest = std::min(earliest.value_or(time_point::max()), record.pausedUntil);
    }
    return std::max(now, earliest.value_or(now));
}

bool runner_directory::isUsable(const runner_record& record, time_point now) const
{
    return exclusionOf(record, now) == exclusion_reason::None;
}

double runner_directory::load(const runner_record& record, time_point now) const
{
    if (!engineOf(record.listing.pool))
        return record.inFlight;
    // Until the shares are known, the entries are taken for equal, each with its turn anywhere among them.
    const double even = 1 / static_cast<double>(std::max<std::size_t>(m_entryCount, 1));
    const auto serviceTime = std::chrono::duration_cast<duration>(std::chrono::duration<double>(serviceSeconds(record.listing.pool)));
    return assumedLoad(record, record.share.value_or(follower_share { even, 0 }), serviceTime, now);
}

std::size_t runner_directory::sampleSize(const pool_id& pool) const
{
    const auto members = m_byPool.find(pool);
    const std::size_t poolSize = members == m_byPool.end() ? 0 : members->second.size();
    return std::max(poolSize / std::max<std::size_t>(m_entryCount, 1), minSampledRunners);
}

bool runner_directory::isAnyFollowedUsable(const std::vector<runner_id>& members, time_point now) const
{
    return std::any_of(members.begin(), members.end(), [&](const runner_id& id) {
        const runner_record& record = m_runners.at(id);
        return record.isFollowed && isUsable(record, now);
    });
}

std::vector<const runner_record*> runner_directory::candidates(const pool_id& pool, time_point now) const
{
    std::vector<const runner_record*> result = usableRunners(pool, now);
    const engine_profile* engine = engineOf(pool);
    if (!engine)
        return result;
    const auto groups = groupUse(pool, *engine, now);
    std::erase_if(result, [&](const runner_record* record) { return groups.at(record->group).remainingShare <= 0; });
    return result;
}

std::vector<const runner_record*> runner_directory::usableRunners(const pool_id& pool, time_point now) const
{
    std::vector<const runner_record*> result;
    const auto members = m_byPool.find(pool);
    if (members == m_byPool.end())
        return result;
    const bool isFollowedOnly = isAnyFollowedUsable(members->second, now);
    for (const runner_id& id : members->second) {
        const runner_record& record = m_runners.at(id);
        if (isUsable(record, now) && (record.isFollowed || !isFollowedOnly))
            result.push_back(&record);
    }
    return result;
}

std::optional<runner_id> runner_directory::choose(const pool_id& pool, const std::vector<runner_id>& excluded, time_point now)
{
    std::vector<runner_candidate> compared;
    for (const runner_record* record : candidates(pool, now)) {
        if (record->estimatedLoad(now) >= requestLimit(*record))
            continue;
        const bool isTried = std::find(excluded.begin(), excluded.end(), record->listing.id) != excluded.end();
        const double score = runnerScore(*record, load(*record, now), smoothedPassMs(record->group));
        compared.push_back({ record, score, record->share.has_value(), m_groupShift.isAvoided(record->group, now), isTried });
    }
    const runner_record* best = chooseRunner(compared, sampleSize(pool), m_random);
    return best ? std::optional(best->listing.id) : std::nullopt;
}

std::uint32_t runner_directory::freeSlots(const pool_id& pool, time_point now) const
{
    const engine_profile* engine = engineOf(pool);
    std::unordered_map<group_id, double> freeByGroup;
    for (const runner_record* record : usableRunners(pool, now)) {
        const std::uint32_t limit = std::min(requestLimit(*record), 1000U);
        const std::uint32_t load = record->estimatedLoad(now);
        if (load < limit)
            freeByGroup[record->group] += std::min(limit - load, sendable(*record, now).value_or(limit));
    }
    const auto groups = engine ? groupUse(pool, *engine, now) : std::unordered_map<group_id, group_use>();
    double total = 0;
    for (const auto& [group, slots] : freeByGroup) {
        const double share = engine ? std::ceil(groups.at(group).remainingShare) : slots;
        total += std::max(0.0, std::min(slots, share));
    }
    return static_cast<std::uint32_t>(total);
}

double runner_directory::serviceSeconds(const pool_id& pool) const
{
    constexpr double msPerSecond = 1000;
    const auto serviceMs = m_serviceMs.find(pool);
    return (serviceMs == m_serviceMs.end() ? defaultServiceMs : serviceMs->second) / msPerSecond;
}

double runner_directory::freedSlotsPerSecond(const pool_id& pool) const
{
    const auto members = m_byPool.find(pool);
    if (members == m_byPool.end() || !m_engines.contains(pool))
        return 0;
    const bool hasEngine = engineOf(pool) != nullptr;
    const double seconds = serviceSeconds(pool);
    double rate = 0;
    for (const runner_id& id : members->second) {
        const runner_record& record = m_runners.at(id);
        if (isStaying(record))
            rate += limitedRate(record, (hasEngine ? limitPerRank(record, *engineOf(pool)) : record.listing.slots) / seconds);
    }
    return rate;
}

double runner_directory::limitedRate(const runner_record& record, double requestsPerSecond)
{
    return std::min(requestsPerSecond, record.limit.requestsPerSecond().value_or(requestsPerSecond));
}

double runner_directory::maxFreedSlotsPerSecond(const pool_id& pool) const
{
    const engine_profile* engine = engineOf(pool);
    const auto members = m_byPool.find(pool);
    if (!engine || members == m_byPool.end())
        return 0;
    const double seconds = serviceSeconds(pool);
    const auto stepMs = [&](double requests) { return engine->stepMs + engine->stepMsPerRequest * requests; };
    double rate = 0;
    for (const runner_id& id : members->second) {
        const runner_record& record = m_runners.at(id);
        if (!isStaying(record))
            continue;
        const double slowdown = stepMs(engine->slots) / std::max(stepMs(limitPerRank(record, *engine)), 1e-9);
        rate += limitedRate(record, engine->slots / (seconds * slowdown));
    }
    return rate;
}

void runner_directory::onAttemptStarted(const runner_id& id, time_point now)
{
    runner_record* record = findRecord(id);
    if (!record)
        return;
    ++record->inFlight;
    if (record->load)
        ++record->load->sentSince;
    record->limit.onSent(now);
}

void runner_directory::onAttemptAbandoned(const runner_id& id)
{
    runner_record* record = findRecord(id);
    if (record && record->inFlight > 0)
        --record->inFlight;
}

void runner_directory::onAttemptSucceeded(const runner_id& id, duration responseTime)
{
    onAttemptAbandoned(id);
    runner_record* record = findRecord(id);
    if (!record)
        return;
    record->failureRate = smoothed(record->failureRate, 0);
    record->consecutiveFailures = 0;
    double& service = m_serviceMs[record->listing.pool];
    const double responseMs = std::chrono::duration<double, std::milli>(responseTime).count();
    service = service == 0 ? responseMs : smoothed(service, responseMs);
    if (engineOf(record->listing.pool))
        return;
    record->responseMs = record->responseMs == 0 ? responseMs : smoothed(record->responseMs, responseMs);
    onFirstEvent(id, responseTime);
}

void runner_directory::onAttemptFailed(const runner_id& id, attempt_failure failure, time_point now)
{
    onAttemptAbandoned(id);
    recordFailure(id, failure, now);
    runner_record* record = findRecord(id);
    // A single lost response does not show that the runner has ended.
    const bool mayHaveEnded = failure == attempt_failure::NotConnected || failure == attempt_failure::OutcomeUnknown;
    const bool isSingleLoss = failure == attempt_failure::OutcomeUnknown && record && record->consecutiveFailures <= 1;
    // The runner may start again under its id before the list shows it.
    if (record && mayHaveEnded && !isSingleLoss)
        beginWarmUp(*record, now);
}

void runner_directory::onSilence(const runner_id& id, time_point now)
{
    recordFailure(id, attempt_failure::OutcomeUnknown, now);
}

void runner_directory::recordFailure(const runner_id& id, attempt_failure failure, time_point now)
{
    runner_record* record = findRecord(id);
    if (!record)
        return;
    if (failure == attempt_failure::WrongRunner) {
        // Another process listens on the address. The runner's entry in the list will be removed or updated.
        record->isReplaced = true;
        return;
    }
    record->failureRate = smoothed(record->failureRate, 1);
    if (failure == attempt_failure::ServerError)
        return;
    if (failure == attempt_failure::Rejected) {
        // The runner is alive, but it is full or its group is forming.
        record->backoffUntil = now + initialBackoff;
        return;
    }
    const auto doubling = std::min<std::uint32_t>(record->consecutiveFailures++, 4);
    // A single lost response does not show that a runner is down; a refused connection does.
    if (failure == attempt_failure::OutcomeUnknown && doubling == 0)
        return;
    record->backoffUntil = now + std::min(initialBackoff * (1 << doubling), maxBackoff);
}

const warm_up_limit* runner_directory::warmUpOf(const pool_id& pool) const
{
    const auto known = m_warmUps.find(pool);
    return known == m_warmUps.end() ? nullptr : &known->second;
}

void runner_directory::setWarmUp(const pool_id& pool, const std::optional<warm_up_limit>& limit, time_point now)
{
    if (limit)
        m_warmUps[pool] = *limit;
    else
        m_warmUps.erase(pool);
    for (auto& [id, record] : m_runners) {
        if (record.listing.pool != pool)
            continue;
        updateWarmUpShare(record);
        // Runners that were listed before the first configuration have not been taken for cold.
        if (limit && now - record.listedAt < limit->time)
            record.limit.extendWarmUp(record.listedAt + limit->time);
        if (!limit)
            record.limit.endWarmUp();
    }
}

void runner_directory::setProcessStart(time_point at)
{
    m_warmUpStart = at + coldRateWindow;
}

void runner_directory::setWarmUpEntries(std::vector<std::string> addresses, bool isComplete)
{
    if (addresses == m_warmUpEntries && isComplete == m_areWarmUpEntriesComplete)
        return;
    m_warmUpEntries = std::move(addresses);
    m_areWarmUpEntriesComplete = isComplete;
    for (auto& [id, record] : m_runners)
        updateWarmUpShare(record);
}

void runner_directory::updateWarmUpShare(runner_record& record) const
{
    const warm_up_limit* limit = warmUpOf(record.listing.pool);
    if (!limit)
        return;
    record.limit.setWarmUpStart(m_warmUpStart);
    const std::size_t position = followerPosition(record.listing.address, m_self, m_warmUpEntries);
    record.limit.setWarmUpShare(m_areWarmUpEntriesComplete ? warmUpShare(*limit, position, m_warmUpEntries.size()) : warmUpShareOfUnsettledEntry(*limit));
}

void runner_directory::beginWarmUp(runner_record& record, time_point now) const
{
    const warm_up_limit* limit = warmUpOf(record.listing.pool);
    if (!limit)
        return;
    updateWarmUpShare(record);
    record.limit.extendWarmUp(now + limit->time);
}

time_point runner_directory::coldUntil(const cold_runner& cold, const warm_up_limit& limit, time_point now)
{
    return now + std::min(cold.timeLeft, std::max(maxColdTime, limit.time));
}

bool runner_directory::onCold(const cold_runner& cold, time_point now)
{
    runner_record* record = findRecord(cold.process);
    const warm_up_limit* limit = record ? warmUpOf(record->listing.pool) : nullptr;
    if (!limit)
        return false;
    const bool isNews = !record->limit.isWarmingUp(now);
    record->limit.onCold(coldUntil(cold, *limit, now));
    return isNews;
}

bool runner_directory::onColdUpdate(const cold_runner& cold, time_point now)
{
    runner_record* record = findRecord(cold.process);
    const warm_up_limit* limit = record ? warmUpOf(record->listing.pool) : nullptr;
    if (!limit)
        return false;
    const bool isNews = !record->limit.isWarmingUp(now);
    record->limit.onColdUpdate(coldUntil(cold, *limit, now));
    return isNews;
}

std::vector<cold_runner> runner_directory::coldRunners(time_point now) const
{
    std::vector<cold_runner> all;
    for (const auto& [process, id] : m_byProcess) {
        if (const auto timeLeft = m_runners.at(id).limit.coldTimeLeft(now))
            all.push_back({ process, *timeLeft });
    }
    return all;
}

bool runner_directory::isCold(const runner_record& record, time_point now) const
{
    const warm_up_limit* limit = warmUpOf(record.listing.pool);
    return limit && (now - record.listedAt < limit->time || record.limit.isCold(now));
}

bool runner_directory::isOverrun(const runner_record& record, time_point now) const
{
    const engine_profile* engine = engineOf(record.listing.pool);
    return engine && record.estimatedLoad(now) > overrunFactor * engine->slots;
}

std::size_t runner_directory::warmingUpCount(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(m_runners.begin(), m_runners.end(), [&](const auto& entry) { return entry.second.limit.isWarmingUp(now); }));
}

std::optional<std::uint32_t> runner_directory::sendable(const runner_record& record, time_point now) const
{
    // A process that has started again under its id may not be listed yet; its agent shows that the known one is still there.
    // Without an agent, the list does so after some time, but runners that are not followed never send reports.
    const time_point lastShownAt = record.load ? std::max(record.load->at, record.listedAt) : record.listedAt;
    const bool isReportMissing = engineOf(record.listing.pool) && warmUpOf(record.listing.pool) && !record.hasRecentLoad(now);
    const bool mayHaveRestarted = isReportMissing && (!record.isFollowed || now - lastShownAt < restartListedTime);
    return mayHaveRestarted ? std::optional(record.limit.sendableWhenCold(now)) : record.limit.sendable(now);
}

void runner_directory::setEvacuatedZones(std::unordered_set<availability_zone_id> zones, time_point now)
{
    const auto before = std::exchange(m_evacuatedZones, std::move(zones));
    for (auto& [id, record] : m_runners) {
        // All entries turn to the idle runners of a zone at once, and these may have turned cold meanwhile.
        if (before.contains(record.listing.zone) && !isZoneEvacuated(record))
            beginWarmUp(record, now);
    }
}

void runner_directory::setEntries(const std::string& self, std::vector<std::string> entries)
{
    m_self = self;
    m_entries = std::move(entries);
    for (auto& [id, record] : m_runners) {
        if (record.limit.requestsPerSecond())
            updateLimitPosition(record);
    }
}

void runner_directory::updateLimitPosition(runner_record& record) const
{
    record.limit.setPosition(followerPosition(record.listing.address, m_self, m_entries), m_entries.size());
}

bool runner_directory::onNamedLimit(const runner_id& id, std::optional<double> requestsPerSecond, time_point now)
{
    runner_record* record = findRecord(id);
    if (!record)
        return false;
    const bool isChanged = record->limit.requestsPerSecond() != requestsPerSecond;
    record->limit.onAnswer(requestsPerSecond, now);
    if (isChanged)
        updateLimitPosition(*record);
    return isChanged;
}

bool runner_directory::onLimitUpdate(const runner_limit_update& update, time_point now)
{
    runner_record* record = findRecord(update.runner);
    if (!record)
        return false;
    const std::optional<double> before = record->limit.requestsPerSecond();
    record->limit.onUpdate(update, now);
    const bool isChanged = record->limit.requestsPerSecond() != before;
    if (isChanged)
        updateLimitPosition(*record);
    return isChanged;
}

std::vector<runner_limit_update> runner_directory::limitUpdates(time_point now) const
{
    std::vector<runner_limit_update> all;
    for (const auto& [process, id] : m_byProcess) {
        if (const auto update = m_runners.at(id).limit.update(process, now))
            all.push_back(*update);
    }
    return all;
}

bool runner_directory::onLeaving(runner_process_id process)
{
    runner_record* record = findRecord(process);
    if (!record || record->isLeaving)
        return false;
    record->isLeaving = true;
    return true;
}

std::vector<runner_process_id> runner_directory::leavingRunners() const
{
    std::vector<runner_process_id> leaving;
    for (const auto& [process, id] : m_byProcess) {
        if (m_runners.at(id).isLeaving)
            leaving.push_back(process);
    }
    return leaving;
}

void runner_directory::onPauseRequested(runner_process_id process, duration time, time_point now)
{
    if (runner_record* record = findRecord(process))
        record->pausedUntil = std::max(record->pausedUntil, now + time);
}

void runner_directory::onFirstEvent(const runner_id& id, duration sinceSent)
{
    const runner_record* record = find(id);
    if (!record)
        return;
    const double ms = std::chrono::duration<double, std::milli>(sinceSent).count();
    double& smoothedMs = m_timeToFirstByteMs[record->listing.pool];
    smoothedMs = smoothedMs == 0 ? ms : smoothed(smoothedMs, ms);
}

duration runner_directory::expectedTimeToFirstByte(const pool_id& pool) const
{
    const auto known = m_timeToFirstByteMs.find(pool);
    const double ms = known == m_timeToFirstByteMs.end() ? defaultTimeToFirstByteMs : known->second;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms));
}

double runner_directory::smoothedPassMs(const group_id& group) const
{
    const auto known = m_groups.find(group);
    return known == m_groups.end() ? 0 : known->second.smoothedPassMs();
}

std::optional<double> runner_directory::meanRunning(const group_id& group, time_point now) const
{
    double sum = 0;
    double ranks = 0;
    for (const auto& [id, record] : m_runners) {
        if (record.group != group || !record.hasRecentLoad(now))
            continue;
        sum += record.load->running;
        ++ranks;
    }
    return ranks > 0 ? std::optional(sum / ranks) : std::nullopt;
}

void runner_directory::onEventGap(const runner_id& id, duration gap, duration objective, time_point now)
{
    const runner_record* record = find(id);
    if (!record || record->group.value().empty() || objective == duration {})
        return;
    const engine_profile* engine = engineOf(record->listing.pool);
    if (!engine)
        return;
    group_limit& limit = m_groups.try_emplace(record->group, engine->slots).first->second;
    limit.onPass(gap, objective);
    if (!limit.isUpdateDue(now))
        return;
    m_groupShift.onPasses(record->group, limit.smoothedPassMs(), std::chrono::duration<double, std::milli>(objective).count(), now);
    if (const auto running = meanRunning(record->group, now))
        limit.update(*engine, *running, now);
}

std::unordered_map<group_id, double> runner_directory::loadSpreads(time_point now) const
{
    std::unordered_map<group_id, std::vector<double>> running;
    for (const auto& [id, record] : m_runners) {
        if (record.hasRecentLoad(now))
            running[record.group].push_back(record.load->running);
    }
    std::unordered_map<group_id, double> spreads;
    for (const auto& [group, ranks] : running) {
        const auto count = static_cast<double>(ranks.size());
        const double mean = std::accumulate(ranks.begin(), ranks.end(), 0.0) / count;
        double squares = 0;
        for (const double rank : ranks)
            squares += (rank - mean) * (rank - mean);
        spreads.emplace(group, std::sqrt(squares / count));
    }
    return spreads;
}

std::vector<runner_directory::group_view> runner_directory::groups() const
{
    std::vector<group_view> views;
    for (const auto& [group, limit] : m_groups)
        views.push_back({ group, limit.requestsPerRank(), limit.smoothedPassMs(), limit.slowdown() });
    return views;
}

}
