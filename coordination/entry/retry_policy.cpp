#include "coordination/entry/retry_policy.h"

#include "coordination/entry/retry_budget.h"
#include "state/derived_limits.h"

#include <algorithm>
#include <random>
#include <unordered_map>

namespace sardinelb {

namespace {

// Attempts of one request, the first included.
constexpr std::uint32_t maxAttempts = 4;
// A team that sends a request once in a while may retry it once. The bound lets a busy team ride out the death of a
// runner, and is soon used up when all runners fail.
constexpr double initialTeamBudget = 1;
constexpr double teamBudgetBound = 10;
// The fleet budget keeps thousands of teams from spending their own budgets at the same time.
constexpr double initialFleetBudget = 10;
constexpr double fleetBudgetBound = 50;
// A refused attempt cost the runner next to nothing, a failed one its whole work.
constexpr double failureRetryCost = 1;
constexpr double refusalRetryCost = 0.25;
// Bound of the delay before the second attempt. It doubles with each further attempt.
constexpr duration initialBackoff = std::chrono::milliseconds(20);
// An attempt with less time than this cannot succeed: it takes a round trip and a first token.
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

// Refusals that say nothing about load. Another runner can take the request, so they cost no budget; the bound on
// attempts limits them.
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
    // A team that has used up its share of a queue is itself the load.
    const bool isCheap = isRefused(failed) && failed.refusal != refusal_reason::TeamShare;
    return isCheap ? refusalRetryCost : failureRetryCost;
}

// A refused request may go to another runner at once; a team that has used up its share of a queue waits.
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

    // Uniform between zero and the bound, so that requests that failed together do not return together. Never more
    // than half of the time that is left.
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
    if (failed.attempt.number >= maxAttempts)
        return { retry_verdict::TooMany, {} };
    const duration timeLeft = failed.answerBy - now;
    if (timeLeft < minAttemptTime)
        return { retry_verdict::TooLate, {} };
    // A planned operation must not cost a request its answer, however many requests it sends elsewhere at once.
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
