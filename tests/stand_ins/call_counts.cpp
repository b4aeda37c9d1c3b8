#include "tests/stand_ins/call_counts.h"

#include "tests/stand_ins/booking_record.h"
#include "tests/stand_ins/json_fields.h"

namespace sardinelb::stand_ins {

namespace {

std::uint64_t countOf(const call_counts& counts, const std::string& key)
{
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}

}

void addCounts(call_counts& counts, const std::string& text)
{
    const auto object = parseObject(text);
    for (const auto& [key, value] : object.items())
        counts[key] += numberField(object, key);
}

count_differences compareCounts(
    const std::vector<booking_record>& bookings, const call_counts& byRequestId, const call_counts& byBody)
{
    count_differences differences;
    differences.compared = bookings.size();
    for (const auto& booking : bookings) {
        const auto calls = countOf(byBody, booking.body);
        const bool answered = booking.result == response_class::Answered;
        differences.repeated += calls > 1 ? 1 : 0;
        differences.missing += answered && calls == 0 ? 1 : 0;
        differences.runThoughRefused += booking.result == response_class::NotRun && calls > 0 ? 1 : 0;
        differences.badRequestIds += answered && countOf(byRequestId, booking.requestId) != 1 ? 1 : 0;
    }
    // Calls without a request id, such as health probes, don't come from a caller.
    for (const auto& [requestId, calls] : byRequestId)
        differences.badRequestIds += !requestId.empty() && calls > 1 ? 1 : 0;
    return differences;
}

}
