#include "coordination/leases/repair_planner.h"

#include "coordination/leases/runner_role.h"

#include <algorithm>

namespace sardinelb {

namespace {

// A runner that was given the same step this often has not carried it out.
constexpr int takenInVain = 2;

// Whether every model is loaded.
bool hasAll(const runner_state& state, const std::set<std::string>& models)
{
    return std::ranges::includes(state.models, models);
}

std::string keyOf(order_kind kind, const std::string& subject) { return std::string(toString(kind)) + " " + subject; }

bool isOutOfReach(member_state state)
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

void repair_planner::noteReach(candidate& seen, const std::optional<member_state>& member, time_point now) const
{
    const member_state state = member.value_or(member_state::Silent);
    const bool isLeaving = state == member_state::Leaving || seen.configured->target != runner_target::Serving;
    seen.isAway = isLeaving || isOutOfReach(state);
    std::optional<time_point>& since = seen.memory->awaySince;
    if (!seen.isAway) {
        since.reset();
        return;
    }
    if (!since)
        since = now;
    duration patience = m_settings.replaceAfter;
    if (isLeaving)
        patience = m_settings.replaceLeavingAfter;
    else if (state == member_state::Partitioned)
        patience = m_settings.replaceCutOffAfter;
    seen.isLost = now - *since >= patience;
}

bool repair_planner::isServing(const runner_memory& memory, time_point now) const
{
    // Reports lag behind an order.
    if (memory.roleGivenAt && now - *memory.roleGivenAt < m_settings.reportValidity)
        return memory.givenRole == roleServe;
    // A runner that has never reported is taken for serving, so that nothing is replaced for lack of knowledge.
    return !memory.state || memory.state->role != roleSpare;
}

repair_planner::candidate repair_planner::observe(
    const runner& configured, const runner_observation* observed, time_point now)
{
    candidate seen;
    seen.configured = &configured;
    seen.memory = &m_runners[configured.id];
    const bool hasReport = observed && observed->report && now - observed->reportedAt <= m_settings.reportValidity;
    if (hasReport)
        seen.memory->state = observed->report;
    seen.isBusy = observed && observed->isBusy;
    noteReach(seen, observed ? observed->member : std::nullopt, now);
    seen.isReady = !seen.isAway && hasReport && observed->member == member_state::Live;
    seen.isServing = isServing(*seen.memory, now);
    return seen;
}

void repair_planner::proposeModels(
    candidate& target, const std::set<std::string>& models, std::vector<proposal>& proposals) const
{
    const runner_state& state = *target.memory->state;
    for (const std::string& model : models) {
        if (!state.models.contains(model) && !state.loading.contains(model))
            proposals.push_back({ &target, order_kind::LoadModel, model,
                "the pool serves this model and the runner has not loaded it", m_settings.driftAfter });
    }
    // A pool without models is being set up or taken down; nothing is unloaded then.
    for (const std::string& model : state.models) {
        if (!models.empty() && !models.contains(model))
            proposals.push_back({ &target, order_kind::UnloadModel, model, "the pool does not serve this model",
                m_settings.driftAfter });
    }
}

bool repair_planner::hasFailed(const runner_memory& memory)
{
    return std::ranges::any_of(
        memory.differences, [](const auto& entry) { return entry.second.timesTaken >= takenInVain; });
}

void repair_planner::proposeReplacements(const pool& of, int missing, const std::set<std::string>& models,
    std::vector<candidate>& candidates, std::vector<proposal>& proposals) const
{
    std::vector<candidate*> spares;
    for (candidate& each : candidates) {
        if (each.isReady && !each.isServing)
            spares.push_back(&each);
    }
    const auto isPrepared = [&](const candidate* each) { return hasAll(*each->memory->state, models); };
    std::stable_partition(spares.begin(), spares.end(), isPrepared);
    // A spare runner that does not follow its orders must not keep the others from being used.
    const auto isWilling = [](const candidate* each) { return !hasFailed(*each->memory); };
    std::stable_partition(spares.begin(), spares.end(), isWilling);
    for (candidate* spare : spares) {
        if (missing-- <= 0)
            return;
        if (!hasAll(*spare->memory->state, models)) {
            proposeModels(*spare, models, proposals);
            continue;
        }
        proposals.push_back({ spare, order_kind::SetRole, roleServe,
            "pool " + of.id.value() + " has fewer serving runners than the wanted " + std::to_string(of.wantedRunners),
            m_settings.driftAfter });
    }
}

void repair_planner::proposeSpares(
    const pool& of, int surplus, std::vector<candidate>& candidates, std::vector<proposal>& proposals) const
{
    for (auto each = candidates.rbegin(); each != candidates.rend() && surplus > 0; ++each) {
        if (!each->isReady || !each->isServing)
            continue;
        --surplus;
        proposals.push_back({ &*each, order_kind::SetRole, roleSpare,
            "pool " + of.id.value() + " has more serving runners than the wanted " + std::to_string(of.wantedRunners),
            m_settings.replaceAfter });
    }
}

std::vector<repair_planner::proposal> repair_planner::propose(
    const pool& of, const std::set<std::string>& models, std::vector<candidate>& candidates) const
{
    std::vector<proposal> proposals;
    int kept = 0;
    int present = 0;
    for (const candidate& each : candidates) {
        kept += each.isServing && !each.isLost ? 1 : 0;
        present += each.isServing && !each.isAway ? 1 : 0;
    }
    // Zero stands for a pool whose roles are not managed.
    if (of.wantedRunners > 0)
        proposeReplacements(of, of.wantedRunners - kept, models, candidates, proposals);
    for (candidate& each : candidates) {
        if (each.isReady && each.isServing)
            proposeModels(each, models, proposals);
    }
    if (of.wantedRunners > 0)
        proposeSpares(of, present - of.wantedRunners, candidates, proposals);
    return proposals;
}

bool repair_planner::isUnderChange(const candidate& each, time_point now) const
{
    const std::optional<time_point>& last = each.memory->lastStepAt;
    return each.isBusy || (last && now - *last < m_settings.reportValidity);
}

bool repair_planner::mayChangeRunner(const std::vector<candidate>& candidates, time_point now) const
{
    const auto changing
        = std::ranges::count_if(candidates, [&](const candidate& each) { return isUnderChange(each, now); });
    const auto share = static_cast<long>(m_settings.changedShare * static_cast<double>(candidates.size()));
    return changing < std::max(share, 1L);
}

bool repair_planner::mayTakeStep(time_point now)
{
    while (!m_steps.empty() && now - m_steps.front() >= m_settings.period)
        m_steps.pop_front();
    return m_steps.size() < static_cast<std::size_t>(m_settings.stepsPerPeriod);
}

bool repair_planner::isDue(const proposal& proposed, time_point now) const
{
    const runner_memory& memory = *proposed.target->memory;
    const difference& seen = memory.differences.at(keyOf(proposed.kind, proposed.subject));
    if (now - *seen.since < proposed.wait)
        return false;
    const bool isDemotion = proposed.kind == order_kind::SetRole && proposed.subject == roleSpare;
    if (isDemotion && memory.roleGivenAt && now - *memory.roleGivenAt < m_settings.roleChangePause)
        return false;
    if (!seen.takenAt)
        return true;
    duration pause = m_settings.retryPause;
    for (int taken = 1; taken < seen.timesTaken && pause < m_settings.longestRetryPause; ++taken)
        pause *= 2;
    return now - *seen.takenAt >= std::min(pause, m_settings.longestRetryPause);
}

void repair_planner::take(const proposal& proposed, time_point now)
{
    const runner_id& target = proposed.target->configured->id;
    runner_memory& memory = *proposed.target->memory;
    const std::string key = keyOf(proposed.kind, proposed.subject);
    difference& seen = memory.differences.at(key);
    seen.takenAt = now;
    ++seen.timesTaken;
    memory.lastStepAt = now;
    if (proposed.kind == order_kind::SetRole) {
        memory.givenRole = proposed.subject;
        memory.roleGivenAt = now;
    }
    m_steps.push_back(now);
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
        const auto of = config.pools.find(id);
        if (of != config.pools.end() && of->second.kind == pool_kind::Model)
            planPool(of->second, modelsOf(config, id), candidates, now);
    }
    return m_commands;
}

void repair_planner::noteDifferences(
    const std::vector<proposal>& proposals, const std::vector<candidate>& candidates, time_point now) const
{
    for (const proposal& each : proposals) {
        difference& seen = each.target->memory->differences[keyOf(each.kind, each.subject)];
        if (!seen.since)
            seen.since = now;
        seen.lastSeen = now;
    }
    for (const candidate& each : candidates) {
        for (auto& [key, known] : each.memory->differences) {
            if (known.lastSeen != now)
                known.since.reset();
        }
        std::erase_if(each.memory->differences, [&](const auto& entry) {
            const difference& known = entry.second;
            return !known.since && (!known.takenAt || now - *known.takenAt >= m_settings.longestRetryPause);
        });
    }
}

void repair_planner::planPool(
    const pool& of, const std::set<std::string>& models, std::vector<candidate>& candidates, time_point now)
{
    const std::vector<proposal> proposals = propose(of, models, candidates);
    noteDifferences(proposals, candidates, now);
    for (const proposal& each : proposals) {
        const bool isPossible = !isUnderChange(*each.target, now) && isDue(each, now);
        if (isPossible && mayChangeRunner(candidates, now) && mayTakeStep(now))
            take(each, now);
    }
}

}
