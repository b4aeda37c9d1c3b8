#include "coordination/entry/retry_policy.h"

#include "coordination/entry/retry_budget.h"
#include "state/derived_limits.h"

#include <algorithm>
#include <random>
#include <unordered_map>

namespace sardinelb {

namespace {

// Attempts of one request, including the first.
constexpr std::uint32_t maxAttempts = 4;
// A request that has failed so often before its answer began may be what ends its runners.
constexpr std::uint32_t maxFailuresBeforeAnswer = 2;
// A team that sends only occasional requests may retry one of them. The bound covers the retries of a busy team after
// the death of one runner, and is soon exhausted when all runners fail.
constexpr double initialTeamBudget = 1;
constexpr double teamBudgetBound = 10;
// The budget of the fleet prevents thousands of teams from spending their own budgets at the same time.
constexpr double initialFleetBudget = 10;
constexpr double fleetBudgetBound = 50;
// A refused attempt costs the runner almost nothing, a failed one all of its work.
constexpr double failureRetryCost = 1;
constexpr double refusalRetryCost = 0.25;
// Maximum delay before the second attempt. It doubles with each further attempt.
constexpr duration initialBackoff = std::chrono::milliseconds(20);
// An attempt with less time cannot succeed, since it needs a round trip and a first token.
constexpr duration minAttemptTime = std::chrono::milliseconds(50);

bool isSafeToRetry(const failed_attempt& failed)
{
    switch (failed.outcome) {
    case execution_outcome::NotRun:
        return true;
    case execution_outcome::Failed:
    case execution_outcome::Unknown:
        return failed.idempotent;
    case execution_outcome::Completed:
        break;
    }
    return false;
}

// Whether the refusal is unrelated to load. Another runner can then take the request, so the retry costs no budget;
// only maxAttempts limits it.
bool isRefusedIndependentlyOfLoad(const failed_attempt& failed)
{
    if (failed.outcome != execution_outcome::NotRun)
        return false;
    switch (failed.refusal) {
    case refusal_reason::Draining:
    case refusal_reason::WrongIncarnation:
    case refusal_reason::RunnerDown:
        return true;
    case refusal_reason::None:
    case refusal_reason::QueueFull:
    case refusal_reason::DeadlineUnreachable:
    case refusal_reason::Duplicate:
    case refusal_reason::Cancelled:
    case refusal_reason::TeamShare:
        break;
    }
    return false;
}

bool isRefused(const failed_attempt& failed)
{
    return failed.outcome == execution_outcome::NotRun && failed.refusal != refusal_reason::None;
}

double retryCost(const failed_attempt& failed)
{
    if (isRefusedIndependentlyOfLoad(failed))
        return 0;
    // A team that has used up its share of a queue causes the load itself.
    const bool isCheap = isRefused(failed) && failed.refusal != refusal_reason::TeamShare;
    return isCheap ? refusalRetryCost : failureRetryCost;
}

// A refused request can be retried on another runner without delay, unless the team has used up its share of a queue.
bool canRetryImmediately(const failed_attempt& failed)
{
    return isRefused(failed) && failed.refusal != refusal_reason::TeamShare;
}

duration maxBackoff(std::uint32_t attemptNumber)
{
    const std::uint32_t doublings = std::clamp(attemptNumber, 1U, maxAttempts) - 1;
    return initialBackoff * (std::int64_t { 1 } << doublings);
}

}

struct retry_policy::implementation {
    std::mt19937_64 random;
    retry_budget fleet { initialFleetBudget, fleetBudgetBound };
    std::unordered_map<team_id, retry_budget> teams;

    retry_budget& budgetOf(const team_id& team)
    {
        return teams.try_emplace(team, initialTeamBudget, teamBudgetBound).first->second;
    }

    // Uniformly distributed between zero and the maximum, so that requests that failed together are not retried
    // together. At most half of the remaining time.
    duration delayFor(const failed_attempt& failed, duration timeLeft)
    {
        if (canRetryImmediately(failed))
            return {};
        const duration bound = std::min(maxBackoff(failed.attempt.number), timeLeft / 2);
        return duration(std::uniform_int_distribution<duration::rep>(0, bound.count())(random));
    }
};

retry_policy::retry_policy(std::uint64_t seed)
    : m_implementation(std::make_unique<implementation>())
{
    m_implementation->random.seed(seed);
}

retry_policy::~retry_policy() = default;
retry_policy::retry_policy(retry_policy&&) noexcept = default;
retry_policy& retry_policy::operator=(retry_policy&&) noexcept = default;

void retry_policy::onRequestAccepted(const team_id& team, const derived_limits& limits, time_point)
{
    m_implementation->budgetOf(team).earn(limits.retryRatio);
    m_implementation->fleet.earn(limits.retryRatio);
}

retry_decision retry_policy::decide(const failed_attempt& failed, time_point now)
{
    if (!isSafeToRetry(failed))
        return { retry_verdict::NotSafe, {} };
    if (failed.attempt.number >= maxAttempts || failed.failuresBeforeAnswer >= maxFailuresBeforeAnswer)
        return { retry_verdict::TooMany, {} };
    const duration timeLeft = failed.answerBy - now;
    if (timeLeft < minAttemptTime)
        return { retry_verdict::TooLate, {} };
    // A planned operation must not fail requests, however many it moves to other runners at once.
    if (failed.refusal == refusal_reason::Draining)
        return { retry_verdict::Retry, m_implementation->delayFor(failed, timeLeft) };
    const double cost = retryCost(failed);
    retry_budget& team = m_implementation->budgetOf(failed.team);
    if (!team.covers(cost) || !m_implementation->fleet.covers(cost))
        return { retry_verdict::BudgetSpent, {} };
    team.spend(cost);
    m_implementation->fleet.spend(cost);
    return { retry_verdict::Retry, m_implementation->delayFor(failed, timeLeft) };
}

}
