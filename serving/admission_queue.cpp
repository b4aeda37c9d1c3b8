#include "serving/admission_queue.h"

#include <algorithm>

namespace sardinelb {

namespace {

// Places that appeared in this time give the pace.
constexpr duration paceWindow = std::chrono::seconds(1);

// Assumed until places have been seen.
constexpr double lowestPlacesPerSecond = 2;

constexpr duration shortestRetry = std::chrono::milliseconds(100);
constexpr duration longestRetry = std::chrono::milliseconds(2500);

bool goesBefore(const waiting_request& a, const waiting_request& b, time_point now)
{
    if (a.priority != b.priority)
        return a.priority < b.priority;
    const bool aTimely = now <= a.latestTimelyStart && !a.isCallerRetry;
    const bool bTimely = now <= b.latestTimelyStart && !b.isCallerRetry;
    if (aTimely != bTimely)
        return aTimely;
    if (a.isCallerRetry != b.isCallerRetry)
        return a.isCallerRetry;
    if (a.arrivedAt == b.arrivedAt)
        return a.ticket < b.ticket;
    return aTimely ? a.arrivedAt < b.arrivedAt : a.arrivedAt > b.arrivedAt;
}

}

double admission_queue::freedSlotsPerSecond(double possible, time_point now) const
{
    const auto recent = std::count_if(m_placed.begin(), m_placed.end(), [&](time_point at) { return at > now - paceWindow; });
    return std::max({ lowestPlacesPerSecond, possible, static_cast<double>(recent) });
}

duration admission_queue::expectedWait(double possiblePlacesPerSecond, time_point now) const
{
    const double seconds = static_cast<double>(m_waiting.size() + 1) / freedSlotsPerSecond(possiblePlacesPerSecond, now);
    const auto wait = std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
    return std::clamp(wait, shortestRetry, longestRetry);
}

bool admission_queue::canServeInTime(const waiting_request& request, double possiblePlacesPerSecond, time_point now) const
{
    const auto ahead = std::count_if(m_waiting.begin(), m_waiting.end(), [&](const waiting_request& other) {
        return goesBefore(other, request, now);
    });
    const double seconds = static_cast<double>(ahead + 1) / freedSlotsPerSecond(possiblePlacesPerSecond, now);
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
        return goesBefore(a, b, now);
    });
    if (next == m_waiting.end())
        return std::nullopt;
    waiting_request taken = *next;
    m_waiting.erase(next);
    return taken;
}

std::vector<waiting_request> admission_queue::takeExpired(time_point now)
{
    std::vector<waiting_request> hopeless;
    std::erase_if(m_waiting, [&](const waiting_request& request) {
        if (now <= request.latestStart)
            return false;
        hopeless.push_back(request);
        return true;
    });
    return hopeless;
}

void admission_queue::onDispatch(time_point now)
{
    m_placed.push_back(now);
    while (m_placed.front() < now - paceWindow)
        m_placed.pop_front();
}

}
