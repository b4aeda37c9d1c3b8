#include "serving/prompt_quarantine.h"

#include <algorithm>
#include <tuple>

namespace sardinelb {

namespace {

// Runners that end before a part is quarantined: one may end by chance while a harmless request waits for it.
constexpr std::size_t crashesOfUnansweredPart = 2;

// The same for a part that was answered before. Common parts wait on many runners, so that several may end at once with one of them.
constexpr std::size_t crashesOfAnsweredPart = 3;

// Other requests that must have been answered since the part was last answered. While runners answer nothing at all, their crashes
// say nothing about a part.
constexpr std::uint64_t minOtherAnswers = 10;

constexpr duration initialQuarantine = std::chrono::minutes(1);
constexpr duration maxQuarantine = std::chrono::hours(1);
constexpr std::uint32_t maxQuarantineDoublings = 6;

// Each entry extends a quarantine at random by up to this fraction, so that not all try the part at the same moment.
constexpr double quarantineJitter = 0.25;

// Time in which the outcome of a single request shows.
constexpr duration trialTimeout = std::chrono::seconds(10);

// Crashes that are older than this no longer count, unless the part is quarantined.
constexpr duration crashLifetime = std::chrono::minutes(10);

// An answered part is shared with the other entries for this long.
constexpr duration clearedLifetime = std::chrono::seconds(3);

constexpr std::size_t maxAnsweredParts = 4096;
constexpr std::size_t maxSuspects = 256;
constexpr std::size_t maxCrashesPerPart = 8;

// Bound the size of a heartbeat.
constexpr std::size_t maxSharedParts = 12;
constexpr std::size_t maxSharedCrashesPerPart = 6;

}

std::size_t prompt_quarantine::key_hash::operator()(const part_key& key) const
{
    return std::hash<std::string>()(key.first.value()) ^ std::hash<std::uint64_t>()(key.second.value());
}

prompt_quarantine::prompt_quarantine(random_source random)
    : m_random(std::move(random))
{
}

const prompt_quarantine::answered_part* prompt_quarantine::findAnswered(const part_key& key) const
{
    for (const answered_parts* generation : { &m_answered, &m_answeredBefore }) {
        const auto known = generation->find(key);
        if (known != generation->end())
            return &known->second;
    }
    return nullptr;
}

void prompt_quarantine::recordAnswered(const part_key& key, answered_part answered)
{
    if (m_answered.size() >= maxAnsweredParts) {
        m_answeredBefore = std::move(m_answered);
        m_answered.clear();
    }
    m_answered[key] = answered;
}

void prompt_quarantine::onAnswer(const pool_id& pool, const std::vector<prompt_part_id>& parts, time_point now)
{
    const std::uint64_t answers = ++m_answers[pool];
    for (const prompt_part_id& part : parts) {
        const part_key key { pool, part };
        recordAnswered(key, { now, answers });
        const auto known = m_suspects.find(key);
        if (known != m_suspects.end())
            clear(known->second, now);
    }
    updateQuarantines(now);
}

void prompt_quarantine::clear(suspect& cleared, time_point now)
{
    if (cleared.crashes.empty() && !cleared.quarantinedUntil)
        return;
    cleared = {};
    cleared.clearedAt = now;
}

void prompt_quarantine::onCrash(const runner_crash& crash, time_point now)
{
    for (std::uint32_t position = 0; position < crash.promptParts.size(); ++position) {
        const part_key key { crash.pool, crash.promptParts[position] };
        addCrash(key, crash.process, position, now, now);
    }
    updateQuarantines(now);
    removeExpired(now);
}

void prompt_quarantine::addCrash(const part_key& key, runner_process_id process, std::uint32_t position, time_point at, time_point now)
{
    const auto before = m_suspects.find(key);
    const bool isQuarantinedNow = before != m_suspects.end() && isQuarantined(before->second, now);
    if (m_explainedCrashes.contains(process) && !isQuarantinedNow)
        return;
    suspect& known = m_suspects[key];
    known.position = std::max(known.position, position);
    if (!known.crashes.try_emplace(process, at).second)
        return;
    known.clearedAt.reset();
    known.lastCrashAt = std::max(known.lastCrashAt, at);
    if (isQuarantinedNow)
        explainCrashes(known, now);
    if (known.crashes.size() <= maxCrashesPerPart)
        return;
    const auto oldest = std::min_element(known.crashes.begin(), known.crashes.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    known.crashes.erase(oldest);
}

bool prompt_quarantine::isQuarantined(const suspect& known, time_point now)
{
    return known.quarantinedUntil && now < *known.quarantinedUntil;
}

void prompt_quarantine::explainCrashes(const suspect& cause, time_point now)
{
    for (const auto& [process, at] : cause.crashes) {
        if (!m_explainedCrashes.try_emplace(process, now).second)
            continue;
        for (auto& [key, known] : m_suspects) {
            if (!isQuarantined(known, now))
                known.crashes.erase(process);
        }
    }
}

bool prompt_quarantine::isQuarantineDue(const part_key& key, const suspect& known, time_point now)
{
    if (known.crashes.empty() || isQuarantined(known, now))
        return false;
    return known.quarantinedUntil ? known.lastCrashAt >= *known.quarantinedUntil : hasCrashedEnough(key, known);
}

void prompt_quarantine::updateQuarantines(time_point now)
{
    // What harmless parts share with the deadly one, they share only by chance, so the part that explains most crashes goes first.
    // Of parts that always come together, the later one is the more specific.
    const auto weight = [](const suspect& known) { return std::tuple(known.crashes.size(), known.position); };
    while (true) {
        const part_key* worstKey = nullptr;
        suspect* worst = nullptr;
        for (auto& [key, known] : m_suspects) {
            if (isQuarantineDue(key, known, now) && (!worst || weight(known) > weight(*worst))) {
                worstKey = &key;
                worst = &known;
            }
        }
        if (!worst)
            return;
        const duration time = std::min(initialQuarantine * (1 << std::min(worst->quarantineCount, maxQuarantineDoublings)), maxQuarantine);
        ++worst->quarantineCount;
        quarantine(*worstKey, *worst, time, false, now);
    }
}

bool prompt_quarantine::hasCrashedEnough(const part_key& key, const suspect& known)
{
    const answered_part* answered = findAnswered(key);
    const std::uint64_t otherAnswers = m_answers[key.first] - (answered ? answered->poolAnswers : 0);
    return otherAnswers >= minOtherAnswers && known.crashes.size() >= (answered ? crashesOfAnsweredPart : crashesOfUnansweredPart);
}

void prompt_quarantine::quarantine(const part_key& key, suspect& known, duration time, bool isAdopted, time_point now)
{
    known.quarantinedUntil = now + time + std::chrono::duration_cast<duration>(time * quarantineJitter * m_random());
    known.trialUntil = {};
    explainCrashes(known, now);
    m_newlyQuarantined.emplace_back(key, isAdopted);
}

void prompt_quarantine::onEvidence(const prompt_part_evidence& received, time_point now)
{
    const part_key key { received.pool, received.part };
    const answered_part* own = findAnswered(key);
    if (received.answerAge && (!own || now - *received.answerAge > own->at))
        recordAnswered(key, { now - *received.answerAge, m_answers[received.pool] });
    const answered_part* answered = findAnswered(key);
    const auto isOutdated = [&](const prompt_part_evidence::crash& crash) { return answered && now - crash.age <= answered->at; };
    // A quarantine that an earlier process has stored comes without its crashes.
    const bool isStoredQuarantine = received.quarantineLeft > duration {} && received.crashes.empty() && !answered;
    if (!isStoredQuarantine && std::all_of(received.crashes.begin(), received.crashes.end(), isOutdated)) {
        onAnsweredSince(key, !received.crashes.empty(), now);
        return;
    }
    const auto before = m_suspects.find(key);
    const bool isQuarantinedHere = before != m_suspects.end() && isQuarantined(before->second, now);
    if (received.quarantineLeft > duration {} && !isQuarantinedHere) {
        suspect& known = m_suspects[key];
        known.quarantineCount = std::max(known.quarantineCount, received.quarantineCount);
        quarantine(key, known, std::min(received.quarantineLeft, maxQuarantine), true, now);
    }
    for (const auto& crash : received.crashes) {
        if (!isOutdated(crash))
            addCrash(key, crash.process, received.position, now - crash.age, now);
    }
    updateQuarantines(now);
    removeExpired(now);
}

void prompt_quarantine::onAnsweredSince(const part_key& key, bool isSuspectElsewhere, time_point now)
{
    const answered_part* answered = findAnswered(key);
    const auto known = m_suspects.find(key);
    const bool isSuspectHere = known != m_suspects.end() && (!answered || known->second.lastCrashAt > answered->at);
    if (isSuspectHere)
        return;
    if (known != m_suspects.end())
        clear(known->second, now);
    if (isSuspectElsewhere)
        m_suspects[key].clearedAt = now;
}

prompt_part_evidence prompt_quarantine::evidenceOf(const part_key& key, const suspect& known, time_point now) const
{
    prompt_part_evidence result;
    result.pool = key.first;
    result.part = key.second;
    for (const auto& [process, at] : known.crashes)
        result.crashes.push_back({ process, now - at });
    std::sort(result.crashes.begin(), result.crashes.end(), [](const auto& a, const auto& b) { return a.age < b.age; });
    result.crashes.resize(std::min(result.crashes.size(), maxSharedCrashesPerPart));
    if (const answered_part* answered = findAnswered(key))
        result.answerAge = now - answered->at;
    if (isQuarantined(known, now))
        result.quarantineLeft = *known.quarantinedUntil - now;
    result.quarantineCount = known.quarantineCount;
    result.position = known.position;
    return result;
}

std::vector<prompt_part_evidence> prompt_quarantine::evidence(time_point now) const
{
    std::vector<prompt_part_evidence> all;
    for (const auto& [key, known] : m_suspects) {
        if (!known.crashes.empty() || isQuarantined(known, now) || (known.clearedAt && now - *known.clearedAt <= clearedLifetime))
            all.push_back(evidenceOf(key, known, now));
    }
    const auto weight = [](const prompt_part_evidence& result) { return std::pair(result.quarantineLeft > duration {}, result.crashes.size()); };
    std::sort(all.begin(), all.end(), [&](const auto& a, const auto& b) { return weight(a) > weight(b); });
    all.resize(std::min(all.size(), maxSharedParts));
    return all;
}

std::optional<duration> prompt_quarantine::quarantineLeft(const pool_id& pool, const std::vector<prompt_part_id>& parts, time_point now) const
{
    if (m_suspects.empty())
        return std::nullopt;
    std::optional<duration> left;
    for (const prompt_part_id& part : parts) {
        const auto known = m_suspects.find({ pool, part });
        if (known == m_suspects.end() || !known->second.quarantinedUntil)
            continue;
        const time_point until = std::max(*known->second.quarantinedUntil, known->second.trialUntil);
        if (now < until)
            left = std::max(left.value_or(duration {}), until - now);
    }
    return left;
}

void prompt_quarantine::onSent(const pool_id& pool, const std::vector<prompt_part_id>& parts, time_point now)
{
    if (m_suspects.empty())
        return;
    for (const prompt_part_id& part : parts) {
        const auto known = m_suspects.find({ pool, part });
        if (known != m_suspects.end() && known->second.quarantinedUntil)
            known->second.trialUntil = now + trialTimeout;
    }
}

bool prompt_quarantine::isSuspect(const pool_id& pool, const std::vector<prompt_part_id>& parts) const
{
    const auto answers = m_answers.find(pool);
    if (answers == m_answers.end() || answers->second < minOtherAnswers)
        return false;
    return std::any_of(parts.begin(), parts.end(), [&](const prompt_part_id& part) {
        const part_key key { pool, part };
        const auto known = m_suspects.find(key);
        return !findAnswered(key) || (known != m_suspects.end() && known->second.crashes.size() >= crashesOfUnansweredPart);
    });
}

std::vector<prompt_quarantine::quarantined_part> prompt_quarantine::takeQuarantined(time_point now)
{
    std::vector<quarantined_part> parts;
    for (const auto& [key, isAdopted] : m_newlyQuarantined) {
        const auto known = m_suspects.find(key);
        if (known != m_suspects.end())
            parts.push_back({ evidenceOf(key, known->second, now), isAdopted });
    }
    m_newlyQuarantined.clear();
    return parts;
}

void prompt_quarantine::removeExpired(time_point now)
{
    std::erase_if(m_suspects, [&](const auto& entry) {
        const suspect& known = entry.second;
        if (known.crashes.empty() && !known.clearedAt && !known.quarantinedUntil)
            return true;
        if (known.clearedAt)
            return now - *known.clearedAt > clearedLifetime;
        const time_point lastAt = std::max(known.lastCrashAt, known.quarantinedUntil.value_or(known.lastCrashAt));
        return now - lastAt > crashLifetime;
    });
    std::erase_if(m_explainedCrashes, [&](const auto& entry) { return now - entry.second > crashLifetime; });
    while (m_suspects.size() > maxSuspects) {
        const auto least = std::min_element(m_suspects.begin(), m_suspects.end(), [](const auto& a, const auto& b) {
            return std::tuple(a.second.quarantineCount, a.second.crashes.size(), a.second.lastCrashAt) < std::tuple(b.second.quarantineCount, b.second.crashes.size(), b.second.lastCrashAt);
        });
        m_suspects.erase(least);
    }
}

}
