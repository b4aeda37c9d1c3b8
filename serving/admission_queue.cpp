#include "serving/admission_queue.h"

#include <algorithm>
#include <tuple>

namespace sardinelb {

namespace {

// The dispatch rate is measured over this time.
constexpr duration rateWindow = std::chrono::seconds(1);

// Arrivals are counted over this time. Over a shorter one the rate left for late requests varies much.
constexpr duration arrivalWindow = std::chrono::seconds(3);

// Lower bound, assumed while hardly any request has been dispatched.
constexpr double minFreedSlotsPerSecond = 2;

// Part of the slots that late requests get at least, since not all requests on time stay until they get a slot.
constexpr double minLateFraction = 0.05;

// One in this many requests is taken regardless of its priority.
constexpr std::uint32_t fairTakeInterval = 8;

constexpr duration minExpectedWait = std::chrono::milliseconds(100);
constexpr duration maxExpectedWait = std::chrono::milliseconds(2500);

duration waitFor(double slots, double slotsPerSecond)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(slots / slotsPerSecond));
}

bool precedes(const waiting_request& a, const waiting_request& b, time_point now)
{
    if (a.priority != b.priority)
        return a.priority < b.priority;
    const bool isAOnTime = now <= a.latestTimelyStart && !a.isCallerRetry;
    const bool isBOnTime = now <= b.latestTimelyStart && !b.isCallerRetry;
    if (isAOnTime != isBOnTime)
        return isAOnTime;
    if (a.routePriority != b.routePriority)
        return a.routePriority < b.routePriority;
    if (a.isCallerRetry != b.isCallerRetry)
        return a.isCallerRetry;
    if (a.arrivedAt == b.arrivedAt)
        return a.ticket < b.ticket;
    return isAOnTime ? a.arrivedAt < b.arrivedAt : a.arrivedAt > b.arrivedAt;
}

}

double admission_queue::expectedFreedSlotsPerSecond(double freedSlotsPerSecond, time_point now) const
{
    const auto recent = std::count_if(m_dispatchTimes.begin(), m_dispatchTimes.end(), [&](time_point at) { return at > now - rateWindow; });
    return std::max({ minFreedSlotsPerSecond, freedSlotsPerSecond, static_cast<double>(recent) });
}

double admission_queue::slotsPerSecondForLate(double freedSlotsPerSecond, time_point now) const
{
    const double rate = expectedFreedSlotsPerSecond(freedSlotsPerSecond, now);
    return std::max(rate * minLateFraction, rate - arrivalsPerSecond(now));
}

double admission_queue::arrivalsPerSecond(time_point now) const
{
    const auto arrivals = std::count_if(m_arrivalTimes.begin(), m_arrivalTimes.end(), [&](time_point at) { return at > now - arrivalWindow; });
    return static_cast<double>(arrivals) / std::chrono::duration<double>(arrivalWindow).count();
}

std::size_t admission_queue::lateCount(time_point now) const
{
    const auto late = std::count_if(m_waiting.begin(), m_waiting.end(), [&](const waiting_request& request) { return !isOnTime(request, now); });
    return static_cast<std::size_t>(late);
}

bool admission_queue::isOnTime(const waiting_request& request, time_point now) const
{
    return !request.isCallerRetry && now <= request.latestTimelyStart;
}

duration admission_queue::expectedWait(double freedSlotsPerSecond, time_point now) const
{
    const duration wait = waitFor(static_cast<double>(m_waiting.size() + 1), slotsPerSecondForLate(freedSlotsPerSecond, now));
    return std::clamp(wait, minExpectedWait, maxExpectedWait);
}

bool admission_queue::canServeInTime(const waiting_request& request, double freedSlotsPerSecond, time_point now) const
{
    const auto ahead = static_cast<double>(std::count_if(m_waiting.begin(), m_waiting.end(), [&](const waiting_request& other) {
        return precedes(other, request, now);
    }));
    // A late response is better for a caller than none, and demand may fall before the request expires.
    return now + waitFor(ahead + 1, expectedFreedSlotsPerSecond(freedSlotsPerSecond, now)) <= request.latestStart;
}

void admission_queue::add(const waiting_request& request)
{
    m_waiting.push_back(request);
}

void admission_queue::remove(std::uint64_t ticket)
{
    std::erase_if(m_waiting, [&](const waiting_request& request) { return request.ticket == ticket; });
}

std::vector<waiting_request>::iterator admission_queue::nextOfLowestPriority(time_point now)
{
    auto next = m_waiting.end();
    for (auto request = m_waiting.begin(); request != m_waiting.end(); ++request) {
        if (!isOnTime(*request, now))
            continue;
        // The numbers of lower priorities are higher.
        const bool isBefore = next == m_waiting.end()
            || std::tie(next->priority, next->routePriority, request->arrivedAt) < std::tie(request->priority, request->routePriority, next->arrivedAt);
        if (isBefore)
            next = request;
    }
    return next;
}

std::optional<waiting_request> admission_queue::takeNext(time_point now)
{
    const bool isFairTake = ++m_takenCount % fairTakeInterval == 0;
    auto next = isFairTake ? nextOfLowestPriority(now) : m_waiting.end();
    if (next == m_waiting.end()) {
        next = std::min_element(m_waiting.begin(), m_waiting.end(), [&](const waiting_request& a, const waiting_request& b) {
            return precedes(a, b, now);
        });
    }
    if (next == m_waiting.end())
        return std::nullopt;
    waiting_request taken = *next;
    m_waiting.erase(next);
    return taken;
}

std::vector<waiting_request> admission_queue::takeExpired(time_point now)
{
    std::vector<waiting_request> expired;
    std::erase_if(m_waiting, [&](const waiting_request& request) {
        if (now <= request.latestStart)
            return false;
        expired.push_back(request);
        return true;
    });
    return expired;
}

void admission_queue::onArrival(time_point now)
{
    m_arrivalTimes.push_back(now);
    while (m_arrivalTimes.front() < now - arrivalWindow)
        m_arrivalTimes.pop_front();
}

void admission_queue::onDispatch(time_point now)
{
    m_dispatchTimes.push_back(now);
    while (m_dispatchTimes.front() < now - rateWindow)
        m_dispatchTimes.pop_front();
}

}
