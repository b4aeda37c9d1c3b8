#include "coordination/queueing/request_queue.h"

#include "coordination/agent/attempt_order.h"
#include "coordination/agent/attempt_table.h"
#include "coordination/queueing/fair_share.h"
#include "coordination/queueing/length_profile.h"
#include "coordination/queueing/slot_policy.h"
#include "coordination/queueing/start_forecast.h"
#include "coordination/queueing/token_interval_estimator.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace sardinelb {

namespace {

attempt_group groupFor(const tracked_attempt& attempt, bool isLongWork, time_point now)
{
    if (isBatch(attempt) && now < attempt.targetStart)
        return isLongWork ? attempt_group::BatchLong : attempt_group::BatchShort;
    return isLongWork ? attempt_group::Long : attempt_group::Short;
}

// Priority for the runner's scheduler: earlier groups get higher numbers.
int priorityOf(attempt_group group)
{
    return static_cast<int>(attempt_group::BatchLong) - static_cast<int>(group);
}

// Calls to plain services have no tokens; each is charged as one token.
double chargeFor(const queued_request& request)
{
    return static_cast<double>(std::max<std::int64_t>(1, request.cost.completionTokens.value()));
}

queue_settings withAtLeastOneSlot(queue_settings settings)
{
    settings.slots = std::max(1U, settings.slots);
    return settings;
}

bool contains(const std::vector<tracked_attempt*>& attempts, const tracked_attempt& attempt)
{
    return std::find(attempts.begin(), attempts.end(), &attempt) != attempts.end();
}

}

struct request_queue::implementation {
    explicit implementation(queue_settings given)
        : settings(withAtLeastOneSlot(given))
        , slots(settings.slots)
        , intervalEstimator(settings.tokenInterval)
    {
    }

    queue_settings settings;
    attempt_table table;
    slot_policy slots;
    token_interval_estimator intervalEstimator;
    length_profile lengths;
    fair_share shortShare;
    fair_share longShare;
    // Refusals to report at the next poll; their attempts are no longer in the table.
    std::vector<queue_action> refusals;
    time_point lastPoll;

    fair_share& shareOf(const tracked_attempt& attempt) { return attempt.chargedAsLong ? longShare : shortShare; }

    // Zero without recent observations of the token interval.
    duration serviceTime(double tokens, time_point now) const
    {
        if (!intervalEstimator.isRecent(now))
            return duration::zero();
        return duration(static_cast<duration::rep>(tokens * static_cast<double>(intervalEstimator.interval().count())));
    }

    duration remainingTime(const tracked_attempt& attempt, time_point now) const
    {
        return serviceTime(static_cast<double>(remainingTokens(attempt)), now);
    }

    // Latest start at which an answer of the given length meets the deadlines.
    time_point lastStartFor(const queued_request& request, double tokens, time_point now) const
    {
        return std::min(request.dispatchBy, request.answerBy - serviceTime(tokens, now));
    }

    void refresh(tracked_attempt& attempt, time_point now)
    {
        attempt.attemptsAhead = shareOf(attempt).attemptsAhead(*attempt.team, attempt.startTag);
        attempt.demandAhead = shareOf(attempt).demandAhead(*attempt.team);
        attempt.late = attempt.phase != attempt_phase::Waiting && now > attempt.request.answerBy;
        attempt.lastResume = attempt.request.answerBy - remainingTime(attempt, now);
        const std::int64_t tokens = attempt.request.cost.completionTokens.value();
        attempt.lastStart = lastStartFor(attempt.request, lengths.typicalTokens(tokens), now);
        attempt.safeLastStart = lastStartFor(attempt.request, lengths.highQuantileTokens(tokens), now);
        attempt.targetStart = targetStartOf(attempt);
        attempt.group = groupFor(attempt, lengths.isLong(tokens, attempt.generatedTokens), now);
        attempt.highQuantileTokens = static_cast<std::int64_t>(lengths.highQuantileTokens(tokens));
        attempt.overdue = slot_policy::isOverdue(attempt, now);
    }

    // Start tags follow the order of admission within each team. When an attempt is refused, the tags of the team's
    // later attempts decrease.
    void refreshTags()
    {
        shortShare.beginTagPass();
        longShare.beginTagPass();
        for (tracked_attempt* attempt : table.idle()) {
            if (attempt->phase == attempt_phase::Waiting)
                attempt->startTag = shareOf(*attempt).nextStartTag(*attempt->team, attempt->charge);
        }
    }

    void refreshAll(time_point now)
    {
        refreshTags();
        for (tracked_attempt* attempt : table.idle())
            refresh(*attempt, now);
        for (tracked_attempt* attempt : table.running())
            refresh(*attempt, now);
    }

    void refreshTeam(const team_share& team, time_point now)
    {
        for (tracked_attempt* attempt : table.idle()) {
            if (attempt->team == &team)
                refresh(*attempt, now);
        }
    }

    tracked_attempt& add(const queued_request& request, time_point now)
    {
        tracked_attempt& attempt = table.add(request, now);
        lengths.onAttemptAdmitted(request.cost.completionTokens.value());
        attempt.chargedAsLong = lengths.isLong(request.cost.completionTokens.value(), 0);
        attempt.charge = chargeFor(request);
        attempt.team = &shareOf(attempt).onAttemptArrived(request.team, request.weight, attempt.charge, now);
        refreshAll(now);
        return attempt;
    }

    // Removes a waiting attempt.
    void withdraw(tracked_attempt& attempt)
    {
        shareOf(attempt).onAttemptLeft(*attempt.team);
        table.erase(attempt);
    }

    void refuse(tracked_attempt& attempt, refusal_reason reason)
    {
        refusals.push_back({ queue_action_kind::Refuse, attempt.request.attempt, 0, reason });
        withdraw(attempt);
    }

    static refusal_reason queueFullReason(const tracked_attempt& attempt)
    {
        return isAboveShare(attempt) ? refusal_reason::TeamShare : refusal_reason::QueueFull;
    }

    tracked_attempt* firstToRefuse() const
    {
        tracked_attempt* first = nullptr;
        for (tracked_attempt* attempt : table.idle()) {
            if (attempt->phase != attempt_phase::Waiting)
                continue;
            if (!first || refusedBefore(*attempt, *first))
                first = attempt;
        }
        return first;
    }

    // Waiting attempts to refuse so that all others can start in time when they are served in order. Each group is
    // checked without the waiting work of other groups, so the check errs towards keeping an attempt.
    std::vector<tracked_attempt*> unreachableAttempts(time_point now) const
    {
        std::vector<tracked_attempt*> ordered = table.idle();
        std::sort(ordered.begin(), ordered.end(), [](const auto* a, const auto* b) { return startsBefore(*a, *b); });
        std::vector<tracked_attempt*> found;
        for (auto first = ordered.begin(); first != ordered.end();) {
            const auto last = std::find_if(
                first, ordered.end(), [&](const auto* attempt) { return attempt->group != (*first)->group; });
            std::vector<tracked_attempt*> group(first, last);
            while (tracked_attempt* toRefuse = findExcessAttempt(group, now)) {
                found.push_back(toRefuse);
                std::erase(group, toRefuse);
            }
            first = last;
        }
        return found;
    }

    // Work above a team's share is only kept if it is very likely to be in time: it takes slots from work that is.
    static time_point latestStart(const tracked_attempt& attempt)
    {
        return isAboveShare(attempt) ? attempt.safeLastStart : attempt.lastStart;
    }

    // Attempt to refuse if not all attempts of the group can start in time when served in order. Null if they can.
    tracked_attempt* findExcessAttempt(const std::vector<tracked_attempt*>& group, time_point now) const
    {
        if (group.empty())
            return nullptr;
        start_forecast forecast = forecastFor(group.front()->group, now);
        const time_point earliest = forecast.nextStart();
        tracked_attempt* toRefuse = nullptr;
        for (tracked_attempt* attempt : group) {
            const bool isWaiting = attempt->phase == attempt_phase::Waiting;
            const time_point start = forecast.nextStart();
            if (isWaiting && (!toRefuse || refusedBefore(*attempt, *toRefuse)))
                toRefuse = attempt;
            if (isWaiting && start > now && start > latestStart(*attempt))
                return earliest > latestStart(*attempt) ? attempt : toRefuse;
            forecast.start(remainingTime(*attempt, now));
        }
        return nullptr;
    }

    start_forecast forecastFor(attempt_group group, time_point now) const
    {
        start_forecast forecast(settings.slots, now);
        for (const tracked_attempt* attempt : table.running()) {
            if (attempt->group <= group || !slots.canBePreempted(*attempt, now))
                forecast.occupy(now + remainingTime(*attempt, now));
        }
        return forecast;
    }

    // An idle runner accepts any attempt that may still be dispatched; otherwise estimates that are too high could
    // refuse all work and would never be corrected.
    bool isTooLate(const tracked_attempt& attempt, time_point now) const
    {
        return attempt.request.dispatchBy < now || (attempt.lastStart < now && !table.running().empty());
    }

    void refuseTooLate(time_point now)
    {
        const std::vector<tracked_attempt*> idle = table.idle();
        for (tracked_attempt* attempt : idle) {
            if (attempt->phase == attempt_phase::Waiting && isTooLate(*attempt, now))
                refuse(*attempt, refusal_reason::DeadlineUnreachable);
        }
    }

    void refuseUnreachable(time_point now)
    {
        if (table.waiting() == 0)
            return;
        refreshAll(now);
        for (tracked_attempt* attempt : unreachableAttempts(now))
            refuse(*attempt, refusal_reason::DeadlineUnreachable);
    }

    void start(tracked_attempt& attempt, time_point now, std::vector<queue_action>& actions)
    {
        const bool resumes = attempt.phase == attempt_phase::Paused;
        attempt.protectedUntil = slots.protectionEnd(attempt, table, now);
        if (!resumes)
            attempt.startTag = shareOf(attempt).onAttemptStarted(*attempt.team, attempt.charge);
        table.start(attempt);
        ++attempt.team->slots;
        refreshTeam(*attempt.team, now);
        actions.push_back({ resumes ? queue_action_kind::Resume : queue_action_kind::Dispatch,
            attempt.request.attempt, priorityOf(attempt.group), refusal_reason::None });
    }

    void fillFreeSlots(time_point now, std::vector<queue_action>& actions)
    {
        while (table.running().size() < settings.slots) {
            tracked_attempt* next = slots.nextForFreeSlot(table, now);
            if (!next)
                return;
            start(*next, now, actions);
        }
    }

    void preempt(time_point now, std::vector<queue_action>& actions)
    {
        while (tracked_attempt* candidate = slots.nextInStartOrder(table, now)) {
            tracked_attempt* victim = slots.victimFor(*candidate, table, now);
            if (!victim)
                return;
            table.pause(*victim, now);
            --victim->team->slots;
            refreshTeam(*victim->team, now);
            actions.push_back({ queue_action_kind::Pause, victim->request.attempt, 0, refusal_reason::None });
            start(*candidate, now, actions);
        }
    }

    // Each start and each refusal changes the shares and thus the order, so passes repeat until nothing changes. The
    // loop terminates because refusals are final and attempts are only paused for those of an earlier group.
    void schedule(time_point now, std::vector<queue_action>& actions)
    {
        std::size_t decisions = 0;
        do {
            decisions = actions.size() + refusals.size();
            refreshAll(now);
            refuseTooLate(now);
            fillFreeSlots(now, actions);
            preempt(now, actions);
            refuseUnreachable(now);
        } while (actions.size() + refusals.size() != decisions && !table.idle().empty());
    }

    void settleShare(tracked_attempt& attempt)
    {
        fair_share& share = shareOf(attempt);
        if (attempt.phase == attempt_phase::Running)
            --attempt.team->slots;
        if (attempt.generatedTokens > 0)
            share.correctCost(*attempt.team, static_cast<double>(attempt.generatedTokens) - attempt.charge);
        share.onAttemptLeft(*attempt.team);
    }
};

request_queue::request_queue(queue_settings settings)
    : m_implementation(std::make_unique<implementation>(settings))
{
}

request_queue::~request_queue() = default;
request_queue::request_queue(request_queue&&) noexcept = default;
request_queue& request_queue::operator=(request_queue&&) noexcept = default;

refusal_reason request_queue::admit(const queued_request& request, time_point now)
{
    implementation& self = *m_implementation;
    if (self.table.find(request.attempt))
        return refusal_reason::Duplicate;
    tracked_attempt& attempt = self.add(request, now);
    if (self.isTooLate(attempt, now) || contains(self.unreachableAttempts(now), attempt)) {
        self.withdraw(attempt);
        return refusal_reason::DeadlineUnreachable;
    }
    if (self.table.waiting() > self.settings.maxQueued) {
        tracked_attempt* toRefuse = self.firstToRefuse();
        const refusal_reason reason = implementation::queueFullReason(*toRefuse);
        if (toRefuse == &attempt) {
            self.withdraw(attempt);
            return reason;
        }
        self.refuse(*toRefuse, reason);
    }
    if (attempt.group == attempt_group::Short)
        self.slots.onShortArrival(now);
    return refusal_reason::None;
}

std::vector<queue_action> request_queue::poll(time_point now)
{
    implementation& self = *m_implementation;
    self.lastPoll = now;
    std::vector<queue_action> actions;
    if (!self.table.idle().empty())
        self.schedule(now, actions);
    actions.insert(actions.begin(), self.refusals.begin(), self.refusals.end());
    self.refusals.clear();
    return actions;
}

std::optional<time_point> request_queue::nextDeadline() const
{
    const implementation& self = *m_implementation;
    std::optional<time_point> next = self.slots.nextDecisionTime(self.table, self.lastPoll);
    for (const tracked_attempt* attempt : self.table.idle()) {
        if (attempt->phase != attempt_phase::Waiting)
            continue;
        const time_point tooLate = justAfter(attempt->lastStart);
        if (!next || tooLate < *next)
            next = tooLate;
    }
    return next;
}

void request_queue::onAttemptProgress(const attempt_id& id, token_count tokens, time_point now)
{
    implementation& self = *m_implementation;
    tracked_attempt* attempt = self.table.find(id);
    if (!attempt || tokens.value() <= 0)
        return;
    attempt->generatedTokens += tokens.value();
    if (attempt->phase != attempt_phase::Running)
        return;
    if (attempt->hasProgress)
        self.intervalEstimator.observe(now - attempt->lastProgress, tokens.value(), now);
    attempt->hasProgress = true;
    attempt->lastProgress = now;
}

void request_queue::onAttemptFinished(const attempt_id& id, time_point now)
{
    implementation& self = *m_implementation;
    tracked_attempt* attempt = self.table.find(id);
    if (!attempt)
        return;
    if (attempt->phase == attempt_phase::Waiting) {
        self.withdraw(*attempt);
        return;
    }
    // Attempts that end while paused or after their deadline were abandoned, so their full length is unknown.
    if (attempt->phase == attempt_phase::Running && now <= attempt->request.answerBy)
        self.lengths.onAttemptFinished(attempt->request.cost.completionTokens.value(), attempt->generatedTokens);
    self.settleShare(*attempt);
    self.table.erase(*attempt);
}

bool request_queue::remove(const attempt_id& id)
{
    tracked_attempt* attempt = m_implementation->table.find(id);
    if (!attempt || attempt->phase != attempt_phase::Waiting)
        return false;
    m_implementation->withdraw(*attempt);
    return true;
}

std::uint32_t request_queue::queued() const
{
    return static_cast<std::uint32_t>(m_implementation->table.idle().size());
}

std::uint32_t request_queue::running() const
{
    return static_cast<std::uint32_t>(m_implementation->table.running().size());
}

token_count request_queue::backlog() const { return token_count(m_implementation->table.remainingTokens()); }

duration request_queue::tokenInterval() const { return m_implementation->intervalEstimator.interval(); }

}
