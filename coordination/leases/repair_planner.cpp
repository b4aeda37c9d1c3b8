#include "coordination/leases/repair_planner.h"

#include "coordination/leases/runner_role.h"

#include <algorithm>

namespace sardinelb {

namespace {

// Number of times the same step is ordered before the runner counts as not following orders.
constexpr int failedStepThreshold = 2;

// Whether every model is loaded.
bool hasAllModels(const runner_state& state, const std::set<std::string>& models)
{
    return std::ranges::includes(state.models, models);
}

std::string keyOf(order_kind kind, const std::string& subject) { return std::string(toString(kind)) + " " + subject; }

bool isUnreachable(member_state state)
{
    return state == member_state::Silent || state == member_state::Partitioned || state == member_state::Dead
        || state == member_state::Leaving;
}

std::set<std::string> modelsOf(const configuration& config, const pool_id& pool)
{
    std::set<std::string> models;
    for (const auto& [id, model] : config.models) {
        if (model.pool == pool)
            models.insert(id.value());
    }
    return models;
}

}

repair_planner::repair_planner(repair_settings settings)
    : m_settings(settings)
{
}

void repair_planner::updateReachability(candidate& seen, const std::optional<member_state>& member, time_point now) const
{
    const member_state state = member.value_or(member_state::Silent);
    const bool isLeaving = state == member_state::Leaving || seen.configured->target != runner_target::Serving;
    seen.isUnreachable = isLeaving || isUnreachable(state);
    std::optional<time_point>& since = seen.tracked->unreachableSince;
    if (!seen.isUnreachable) {
        since.reset();
        return;
    }
    if (!since)
        since = now;
    duration replaceDelay = m_settings.replaceAfter;
    if (isLeaving)
        replaceDelay = m_settings.replaceLeavingAfter;
    else if (state == member_state::Partitioned)
        replaceDelay = m_settings.replacePartitionedAfter;
    seen.isLost = now - *since >= replaceDelay;
}

bool repair_planner::isServing(const tracked_runner& tracked, time_point now) const
{
    // Reports lag behind orders.
    if (tracked.roleOrderedAt && now - *tracked.roleOrderedAt < m_settings.maxReportAge)
        return tracked.orderedRole == roleServe;
    // A runner that has never reported counts as serving, so that none is replaced for lack of information.
    return !tracked.state || tracked.state->role != roleSpare;
}

repair_planner::candidate repair_planner::observe(
    const runner& configured, const runner_observation* observed, time_point now)
{
    candidate seen;
    seen.configured = &configured;
    seen.tracked = &m_runners[configured.id];
    const bool hasReport = observed && observed->report && now - observed->reportedAt <= m_settings.maxReportAge;
    if (hasReport)
        seen.tracked->state = observed->report;
    seen.isBusy = observed && observed->isBusy;
    updateReachability(seen, observed ? observed->member : std::nullopt, now);
    seen.isReady = !seen.isUnreachable && hasReport && observed->member == member_state::Live;
    seen.isServing = isServing(*seen.tracked, now);
    return seen;
}

void repair_planner::proposeModels(
    candidate& target, const std::set<std::string>& models, std::vector<proposal>& proposals) const
{
    const runner_state& state = *target.tracked->state;
    for (const std::string& model : models) {
        if (!state.models.contains(model) && !state.loading.contains(model))
            proposals.push_back({ &target, order_kind::LoadModel, model,
                "the pool serves this model, but the runner has not loaded it", m_settings.repairDriftAfter });
    }
    // A pool without models is being set up or removed; its runners keep their models.
    for (const std::string& model : state.models) {
        if (!models.empty() && !models.contains(model))
            proposals.push_back({ &target, order_kind::UnloadModel, model, "the pool does not serve this model",
                m_settings.repairDriftAfter });
    }
}

bool repair_planner::hasFailed(const tracked_runner& tracked)
{
    return std::ranges::any_of(
        tracked.differences, [](const auto& entry) { return entry.second.timesTaken >= failedStepThreshold; });
}

void repair_planner::proposeReplacements(const pool& configuredPool, int missing, const std::set<std::string>& models,
    std::vector<candidate>& candidates, std::vector<proposal>& proposals) const
{
    std::vector<candidate*> spares;
    for (candidate& each : candidates) {
        if (each.isReady && !each.isServing)
            spares.push_back(&each);
    }
    const auto isPrepared = [&](const candidate* each) { return hasAllModels(*each->tracked->state, models); };
    std::stable_partition(spares.begin(), spares.end(), isPrepared);
    // A spare runner that does not follow its orders must not block the use of the others.
    const auto followsOrders = [](const candidate* each) { return !hasFailed(*each->tracked); };
    std::stable_partition(spares.begin(), spares.end(), followsOrders);
    for (candidate* spare : spares) {
        if (missing-- <= 0)
            return;
        if (!hasAllModels(*spare->tracked->state, models)) {
            proposeModels(*spare, models, proposals);
            continue;
        }
        proposals.push_back({ spare, order_kind::SetRole, roleServe,
            "pool " + configuredPool.id.value() + " has fewer serving runners than the wanted " + std::to_string(configuredPool.wantedRunners),
            m_settings.repairDriftAfter });
    }
}

void repair_planner::proposeSpares(
    const pool& configuredPool, int surplus, std::vector<candidate>& candidates, std::vector<proposal>& proposals) const
{
    for (auto each = candidates.rbegin(); each != candidates.rend() && surplus > 0; ++each) {
        if (!each->isReady || !each->isServing)
            continue;
        --surplus;
        proposals.push_back({ &*each, order_kind::SetRole, roleSpare,
            "pool " + configuredPool.id.value() + " has more serving runners than the wanted " + std::to_string(configuredPool.wantedRunners),
            m_settings.replaceAfter });
    }
}

std::vector<repair_planner::proposal> repair_planner::propose(
    const pool& configuredPool, const std::set<std::string>& models, std::vector<candidate>& candidates) const
{
    std::vector<proposal> proposals;
    int notLost = 0;
    int reachable = 0;
    for (const candidate& each : candidates) {
        notLost += each.isServing && !each.isLost ? 1 : 0;
        reachable += each.isServing && !each.isUnreachable ? 1 : 0;
    }
    // Zero means that the roles of the pool are not managed.
    if (configuredPool.wantedRunners > 0)
        proposeReplacements(configuredPool, configuredPool.wantedRunners - notLost, models, candidates, proposals);
    for (candidate& each : candidates) {
        if (each.isReady && each.isServing)
            proposeModels(each, models, proposals);
    }
    if (configuredPool.wantedRunners > 0)
        proposeSpares(configuredPool, reachable - configuredPool.wantedRunners, candidates, proposals);
    return proposals;
}

bool repair_planner::isChanging(const candidate& each, time_point now) const
{
    const std::optional<time_point>& last = each.tracked->lastStepAt;
    return each.isBusy || (last && now - *last < m_settings.maxReportAge);
}

bool repair_planner::canChangeRunner(const std::vector<candidate>& candidates, time_point now) const
{
    const auto changing
        = std::ranges::count_if(candidates, [&](const candidate& each) { return isChanging(each, now); });
    const auto share = static_cast<long>(m_settings.maxChangingShare * static_cast<double>(candidates.size()));
    return changing < std::max(share, 1L);
}

bool repair_planner::canTakeStep(time_point now)
{
    while (!m_recentStepTimes.empty() && now - m_recentStepTimes.front() >= m_settings.period)
        m_recentStepTimes.pop_front();
    return m_recentStepTimes.size() < static_cast<std::size_t>(m_settings.maxStepsPerPeriod);
}

bool repair_planner::isDue(const proposal& proposed, time_point now) const
{
    const tracked_runner& tracked = *proposed.target->tracked;
    const difference& seen = tracked.differences.at(keyOf(proposed.kind, proposed.subject));
    if (now - *seen.presentSince < proposed.minAge)
        return false;
    const bool isDemotion = proposed.kind == order_kind::SetRole && proposed.subject == roleSpare;
    if (isDemotion && tracked.roleOrderedAt && now - *tracked.roleOrderedAt < m_settings.minRoleChangeInterval)
        return false;
    if (!seen.lastTakenAt)
        return true;
    duration pause = m_settings.initialRetryDelay;
    for (int taken = 1; taken < seen.timesTaken && pause < m_settings.maxRetryDelay; ++taken)
        pause *= 2;
    return now - *seen.lastTakenAt >= std::min(pause, m_settings.maxRetryDelay);
}

void repair_planner::takeStep(const proposal& proposed, time_point now)
{
    const runner_id& target = proposed.target->configured->id;
    tracked_runner& tracked = *proposed.target->tracked;
    const std::string key = keyOf(proposed.kind, proposed.subject);
    difference& seen = tracked.differences.at(key);
    seen.lastTakenAt = now;
    ++seen.timesTaken;
    tracked.lastStepAt = now;
    if (proposed.kind == order_kind::SetRole) {
        tracked.orderedRole = proposed.subject;
        tracked.roleOrderedAt = now;
    }
    m_recentStepTimes.push_back(now);
    const std::string id
        = "repair " + target.value() + " " + key + " " + std::to_string(now.time_since_epoch().count());
    m_commands.push_back({ id, target, proposed.kind, proposed.subject, proposed.reason });
}

std::vector<order_command> repair_planner::plan(
    const configuration& config, const std::vector<runner_observation>& observations, time_point now)
{
    m_commands.clear();
    std::erase_if(m_runners, [&](const auto& entry) { return !config.runners.contains(entry.first); });
    std::map<runner_id, const runner_observation*> observed;
    for (const runner_observation& each : observations)
        observed[each.runner] = &each;
    std::map<pool_id, std::vector<candidate>> pools;
    for (const auto& [id, configured] : config.runners) {
        const auto found = observed.find(id);
        pools[configured.pool].push_back(
            observe(configured, found == observed.end() ? nullptr : found->second, now));
    }
    for (auto& [id, candidates] : pools) {
        const auto found = config.pools.find(id);
        if (found != config.pools.end() && found->second.kind == pool_kind::Model)
            planPool(found->second, modelsOf(config, id), candidates, now);
    }
    return m_commands;
}

void repair_planner::updateDifferences(
    const std::vector<proposal>& proposals, const std::vector<candidate>& candidates, time_point now) const
{
    for (const proposal& each : proposals) {
        difference& seen = each.target->tracked->differences[keyOf(each.kind, each.subject)];
        if (!seen.presentSince)
            seen.presentSince = now;
        seen.lastSeen = now;
    }
    for (const candidate& each : candidates) {
        for (auto& [key, known] : each.tracked->differences) {
            if (known.lastSeen != now)
                known.presentSince.reset();
        }
        std::erase_if(each.tracked->differences, [&](const auto& entry) {
            const difference& known = entry.second;
            return !known.presentSince && (!known.lastTakenAt || now - *known.lastTakenAt >= m_settings.maxRetryDelay);
        });
    }
}

void repair_planner::planPool(
    const pool& configuredPool, const std::set<std::string>& models, std::vector<candidate>& candidates, time_point now)
{
    const std::vector<proposal> proposals = propose(configuredPool, models, candidates);
    updateDifferences(proposals, candidates, now);
    for (const proposal& each : proposals) {
        const bool isPossible = !isChanging(*each.target, now) && isDue(each, now);
        if (isPossible && canChangeRunner(candidates, now) && canTakeStep(now))
            takeStep(each, now);
    }
}

}
