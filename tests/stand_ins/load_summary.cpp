#include "tests/stand_ins/load_summary.h"

#include "tests/stand_ins/json_fields.h"

#include <algorithm>
#include <array>

namespace sardinelb::stand_ins {

namespace {

constexpr std::array allResponseClasses = { response_class::Answered, response_class::NotRun, response_class::Failed,
    response_class::Unknown, response_class::Broken, response_class::Wrong };

constexpr std::array allRequestKinds
    = { load_request_kind::PlainChat, load_request_kind::StreamedChat, load_request_kind::Booking };

const char* toString(load_request_kind kind)
{
    switch (kind) {
    case load_request_kind::PlainChat:
        return "plain_chat";
    case load_request_kind::StreamedChat:
        return "streamed_chat";
    case load_request_kind::Booking:
        break;
    }
    return "bookings";
}

bool isAcceptableResult(response_class kind)
{
    return kind == response_class::Answered || kind == response_class::NotRun;
}

}

void load_summary::add(const load_request& request, const response_verdict& verdict, std::uint64_t resent)
{
    auto& counts = m_kinds[request.kind];
    ++counts.sent;
    counts.resent += resent;
    ++counts.results[verdict.kind];
    if (verdict.kind == response_class::Answered)
        return;
    const std::string prefix = std::string(toString(request.kind)) + " " + toString(verdict.kind);
    addExample(prefix + ", request id '" + verdict.requestId + "': " + verdict.detail);
}

void load_summary::setComparison(const count_differences& differences)
{
    m_differences = differences;
    m_comparison = "done";
}

void load_summary::setComparisonFailure(const std::string& reason)
{
    m_comparison = reason;
}

bool load_summary::hasPassed() const
{
    const auto hasAcceptableResults = [](const auto& entry) {
        const auto& results = entry.second.results;
        return std::all_of(
            results.begin(), results.end(), [](const auto& result) { return isAcceptableResult(result.first); });
    };
    const bool isComparisonAcceptable = (m_comparison == "done" || m_comparison == "none") && m_differences.isEmpty();
    return isComparisonAcceptable && std::all_of(m_kinds.begin(), m_kinds.end(), hasAcceptableResults);
}

std::string load_summary::toJson(double seconds) const
{
    nlohmann::json report;
    for (const auto kind : allRequestKinds) {
        const auto found = m_kinds.find(kind);
        const auto counts = found == m_kinds.end() ? kind_counts() : found->second;
        auto& object = report[toString(kind)];
        object["sent"] = counts.sent;
        object["resent"] = counts.resent;
        for (const auto result : allResponseClasses)
            object[stand_ins::toString(result)] = counts.results.contains(result) ? counts.results.at(result) : 0;
    }
    report["services"] = {
        { "comparison", m_comparison },
        { "compared", m_differences.compared },
        { "repeated", m_differences.repeated },
        { "missing", m_differences.missing },
        { "run_though_refused", m_differences.runThoughRefused },
        { "bad_request_ids", m_differences.badRequestIds },
    };
    report["examples"] = m_examples;
    report["seconds"] = seconds;
    report["good"] = hasPassed();
    return toText(report);
}

void load_summary::addExample(const std::string& text)
{
    // Keeps the report readable; the first failures are enough to start debugging.
    constexpr std::size_t maxExamples = 20;
    if (m_examples.size() < maxExamples)
        m_examples.push_back(text);
}

}
