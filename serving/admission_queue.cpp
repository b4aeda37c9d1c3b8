#include "serving/admission_queue.h"

#include <algorithm>

namespace sardinelb {

namespace {

// The dispatch rate is measured over this time.
constexpr duration rateWindow = std::chrono::seconds(1);

// Lower bound, assumed while hardly any request has been dispatched.
constexpr double minFreedSlotsPerSecond = 2;

constexpr duration minExpectedWait = std::chrono::milliseconds(100);
constexpr duration maxExpectedWait = std::chrono::milliseconds(2500);

bool precedes(const waiting_request& a, const waiting_request& b, time_point now)
{
    if (a.priority != b.priority)
        return a.priority < b.priority;
    const bool isAOnTime = now <= a.latestTimelyStart && !a.isCallerRetry;
    const bool isBOnTime = now <= b.latestTimelyStart && !b.isCallerRetry;
    if (isAOnTime != isBOnTime)
        return isAOnTime;
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

duration admission_queue::expectedWait(double freedSlotsPerSecond, time_point now) const
{
    const double seconds = static_cast<double>(m_waiting.size() + 1) / expectedFreedSlotsPerSecond(freedSlotsPerSecond, now);
    const auto wait = std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
    return std::clamp(wait, minExpectedWait, maxExpectedWait);
}

bool admission_queue::canServeInTime(const waiting_request& request, double freedSlotsPerSecond, time_point now) const
{
    const auto ahead = std::count_if(m_waiting.begin(), m_waiting.end(), [&](const waiting_request& other) {
        return precedes(other, request, now);
    });
    const double seconds = static_cast<double>(ahead + 1) / expectedFreedSlotsPerSecond(freedSlotsPerSecond, now);
    const auto wait = std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
    return now + wait <= request.latestStart;
}

void admission_queue::add(const waiting_request& request)
{
    m_waiting.push_back(request);
}

void admission_queue::remove(std::uint64_t ticket)
{
    std::erase_if(m_waiting, [&](const waiting_request& request) { return request.ticket == ticket; });
}

std::optional<waiting_request> admission_queue::takeNext(time_point now)
{
    const auto next = std::min_element(m_waiting.begin(), m_waiting.end(), [&](const waiting_request& a, const waiting_request& b) {
        return precedes(a, b, now);
    });
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

void admission_queue::onDispatch(time_point now)
{
    m_dispatchTimes.push_back(now);
    while (m_dispatchTimes.front() < now - rateWindow)
        m_dispatchTimes.pop_front();
}

}
