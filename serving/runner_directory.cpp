#include "serving/runner_directory.h"

#include <algorithm>
#include <limits>

namespace sardinelb {

namespace {

constexpr double smoothing = 0.2;

// A runner that failed is left alone this long; the time doubles with each further failure in a row.
constexpr duration firstAvoidance = std::chrono::milliseconds(250);
constexpr duration longestAvoidance = std::chrono::seconds(4);

// A runner that fails every second request counts as if it had this much more work for each request in flight.
constexpr double failurePenalty = 16;

// Time of a pass at which a group counts as neither fast nor slow.
constexpr double neutralPassMs = 60;

// Agents answer an entry that has learned of a new process within 0.2 s. After this time the runner is used without a
// report, since its agent may be down.
constexpr duration firstReportTime = std::chrono::milliseconds(800);

// Each entry compares its part of the runners, but no fewer than these.
constexpr std::size_t fewestCompared = 4;

// Puts a runner behind all that are compared, or behind all others.
constexpr double notComparedScore = 1e5;
constexpr double excludedScore = 1e7;

// Until a first answer has been seen.
constexpr double assumedFirstAnswerMs = 200;

// Until an answer has ended.
constexpr double assumedServiceMs = 2000;

double smoothed(double before, double value)
{
    return before + smoothing * (value - before);
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
    for (const listed_runner& listing : listings) {
        runner_record record;
        record.listedAt = now;
        const auto before = m_runners.find(listing.id);
        const bool isSameProcess = before != m_runners.end() && before->second.listing.startedAtMs == listing.startedAtMs
            && before->second.listing.address == listing.address;
        if (isSameProcess)
            record = before->second;
        else if (before != m_runners.end())
            record.inFlight = before->second.inFlight;
        record.listing = listing;
        m_byPool[listing.pool].push_back(listing.id);
        known.emplace(listing.id, std::move(record));
    }
    m_runners = std::move(known);
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
    const bool isOther = report.startedAtMs != 0 && record->listing.startedAtMs != 0 && report.startedAtMs != record->listing.startedAtMs;
    record->isReplaced = record->isReplaced || isOther;
    const bool hasOpened = report.isGroupOpen && (!record->load || !record->load->isGroupOpen);
    if (hasOpened) {
        // What failed while the group was forming says nothing about it now.
        record->avoidUntil = {};
        record->failuresInRow = 0;
    }
    record->load = runner_record::load_sample { report.running + report.waiting, record->inFlight, now, report.pace, report.isGroupOpen };
    record->group = report.group;
    record->rank = report.rank;
}

std::uint32_t runner_directory::limitOf(const runner_record& record) const
{
    const engine_profile* engine = engineOf(record.listing.pool);
    if (!engine)
        return std::numeric_limits<std::uint32_t>::max();
    const auto group = m_groups.find(record.group);
    if (group == m_groups.end())
        return engine->slots;
    return std::min(engine->slots, group->second.requestsPerRank());
}

bool runner_directory::awaitsFirstReport(const runner_record& record, time_point now) const
{
    const bool hasAgent = engineOf(record.listing.pool) != nullptr;
    return hasAgent && !record.load && now - record.listedAt < firstReportTime;
}

bool runner_directory::isUsable(const runner_record& record, time_point now) const
{
    // A list that is older than a loss of power names processes that are gone, and the groups of new ones are forming.
    if (awaitsFirstReport(record, now))
        return false;
    if (record.listing.isDraining || record.isReplaced || now < record.avoidUntil)
        return false;
    return !record.load || record.load->isGroupOpen || now - record.load->at > longestAvoidance;
}

double runner_directory::score(const runner_record& record, time_point now) const
{
    const double load = record.estimatedLoad(now);
    const double pace = record.load ? std::max(1.0, record.load->pace) : 1.0;
    // All ranks of a group advance together, so a group with long passes is slow on each of its ranks.
    const double pass = std::max(1.0, usualPassMs(record.group) / neutralPassMs);
    return (load + 1) * pace * pass * (1 + failurePenalty * record.failureRate) * (1 + record.answerMs / 1000);
}

bool runner_directory::isCompared(std::size_t poolSize)
{
    const double part = static_cast<double>(std::max(poolSize / std::max<std::size_t>(m_entryCount, 1), fewestCompared)) / static_cast<double>(poolSize);
    return m_random() < part;
}

std::optional<runner_id> runner_directory::choose(const pool_id& pool, const std::vector<runner_id>& excluded, time_point now)
{
    const auto members = m_byPool.find(pool);
    if (members == m_byPool.end())
        return std::nullopt;
    const runner_id* best = nullptr;
    double bestScore = std::numeric_limits<double>::infinity();
    for (const runner_id& id : members->second) {
        const runner_record& record = m_runners.at(id);
        if (!isUsable(record, now) || record.estimatedLoad(now) >= limitOf(record))
            continue;
        double value = score(record, now);
        // Entries that compared all runners by the same reports would all take the same one.
        if (!isCompared(members->second.size()))
            value += notComparedScore;
        if (std::find(excluded.begin(), excluded.end(), id) != excluded.end())
            value += excludedScore;
        value *= 1 + 0.2 * m_random();
        if (value < bestScore) {
            bestScore = value;
            best = &id;
        }
    }
    return best ? std::optional(*best) : std::nullopt;
}

std::uint32_t runner_directory::freeSlots(const pool_id& pool, time_point now) const
{
    const auto members = m_byPool.find(pool);
    if (members == m_byPool.end())
        return 0;
    std::uint32_t total = 0;
    for (const runner_id& id : members->second) {
        const runner_record& record = m_runners.at(id);
        const std::uint32_t limit = std::min(limitOf(record), 1000U);
        const std::uint32_t load = record.estimatedLoad(now);
        if (isUsable(record, now) && load < limit)
            total += limit - load;
    }
    return total;
}

double runner_directory::freedSlotsPerSecond(const pool_id& pool) const
{
    const auto members = m_byPool.find(pool);
    if (members == m_byPool.end() || !m_engines.contains(pool))
        return 0;
    const bool hasEngine = engineOf(pool) != nullptr;
    const auto serviceMs = m_serviceMs.find(pool);
    const double seconds = (serviceMs == m_serviceMs.end() ? assumedServiceMs : serviceMs->second) / 1000;
    double places = 0;
    for (const runner_id& id : members->second) {
        const runner_record& record = m_runners.at(id);
        if (!record.listing.isDraining && !record.isReplaced)
            places += hasEngine ? limitOf(record) : record.listing.slots;
    }
    return places / seconds;
}

void runner_directory::onAttemptStarted(const runner_id& id)
{
    if (runner_record* record = findRecord(id))
        ++record->inFlight;
}

void runner_directory::onAttemptAbandoned(const runner_id& id)
{
    runner_record* record = findRecord(id);
    if (record && record->inFlight > 0)
        --record->inFlight;
}

void runner_directory::onAttemptSucceeded(const runner_id& id, duration timeToAnswer)
{
    onAttemptAbandoned(id);
    runner_record* record = findRecord(id);
    if (!record)
        return;
    record->failureRate = smoothed(record->failureRate, 0);
    record->failuresInRow = 0;
    double& service = m_serviceMs[record->listing.pool];
    const double wholeMs = std::chrono::duration<double, std::milli>(timeToAnswer).count();
    service = service == 0 ? wholeMs : smoothed(service, wholeMs);
    if (engineOf(record->listing.pool))
        return;
    record->answerMs = record->answerMs == 0 ? wholeMs : smoothed(record->answerMs, wholeMs);
    onFirstEvent(id, timeToAnswer);
}

void runner_directory::onAttemptFailed(const runner_id& id, attempt_failure failure, time_point now)
{
    onAttemptAbandoned(id);
    runner_record* record = findRecord(id);
    if (!record)
        return;
    if (failure == attempt_failure::WrongRunner) {
        // The runner is gone, and its address has another one; its listing will say so.
        record->isReplaced = true;
        return;
    }
    record->failureRate = smoothed(record->failureRate, 1);
    if (failure == attempt_failure::ServerError)
        return;
    if (failure == attempt_failure::Rejected) {
        // The runner is there; it is full, or its group is forming.
        record->avoidUntil = now + firstAvoidance;
        return;
    }
    const auto doubling = std::min<std::uint32_t>(record->failuresInRow++, 4);
    // One lost answer does not show that a runner is down; a refused connection does.
    if (failure == attempt_failure::OutcomeUnknown && doubling == 0)
        return;
    record->avoidUntil = now + std::min(firstAvoidance * (1 << doubling), longestAvoidance);
}

void runner_directory::onFirstEvent(const runner_id& id, duration sinceSent)
{
    const runner_record* record = find(id);
    if (!record)
        return;
    const double ms = std::chrono::duration<double, std::milli>(sinceSent).count();
    double& usual = m_firstAnswerMs[record->listing.pool];
    usual = usual == 0 ? ms : smoothed(usual, ms);
}

duration runner_directory::expectedTimeToFirstByte(const pool_id& pool) const
{
    const auto known = m_firstAnswerMs.find(pool);
    const double ms = known == m_firstAnswerMs.end() ? assumedFirstAnswerMs : known->second;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms));
}

double runner_directory::usualPassMs(const group_id& group) const
{
    const auto known = m_groups.find(group);
    return known == m_groups.end() ? 0 : known->second.usualPassMs();
}

std::optional<double> runner_directory::meanRunning(const group_id& group, time_point now) const
{
    double sum = 0;
    double ranks = 0;
    for (const auto& [id, record] : m_runners) {
        if (record.group != group || !record.hasPresentLoad(now))
            continue;
        sum += record.estimatedLoad(now);
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
    limit.passSeen(gap, objective);
    if (!limit.isDue(now))
        return;
    if (const auto running = meanRunning(record->group, now))
        limit.update(*engine, *running, now);
}

std::vector<runner_directory::group_view> runner_directory::groups() const
{
    std::vector<group_view> views;
    for (const auto& [group, limit] : m_groups)
        views.push_back({ group, limit.requestsPerRank(), limit.usualPassMs() });
    return views;
}

}
