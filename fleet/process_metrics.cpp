#include "fleet/process_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace sardinelb {

namespace {

const prometheus::Histogram::BucketBoundaries latencyBucketsSeconds { 0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 4, 8 };
const prometheus::Histogram::BucketBoundaries sentOnReportBuckets { 0, 1, 2, 4, 8, 16 };

const prometheus::Histogram::BucketBoundaries holdBucketsSeconds { 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 2, 4, 8 };

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

}

struct process_metrics::implementation {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& requests = prometheus::BuildCounter().Name("sardinelb_requests_total").Help("Requests of callers by outcome.").Register(registry);
    prometheus::Family<prometheus::Counter>& events = prometheus::BuildCounter().Name("sardinelb_events_total").Help("Decisions and changes of belief by kind.").Register(registry);
    prometheus::Family<prometheus::Gauge>& memory = prometheus::BuildGauge().Name("sardinelb_caller_memory_bytes").Help("Memory reserved for connections of callers by use.").Register(registry);
    prometheus::Family<prometheus::Gauge>& loadSpread = prometheus::BuildGauge().Name("sardinelb_load_spread").Help("Standard deviation of running requests over the ranks of a group.").Register(registry);
    std::unordered_map<group_id, prometheus::Gauge*> loadSpreads;
    prometheus::Histogram& reportAge = prometheus::BuildHistogram().Name("sardinelb_report_age_seconds").Help("Age of a runner's load report when the runner is chosen.").Register(registry).Add({}, latencyBucketsSeconds);
    prometheus::Histogram& sentOnReport = prometheus::BuildHistogram().Name("sardinelb_sent_on_report").Help("Requests sent before on the same load report when a runner is chosen.").Register(registry).Add({}, sentOnReportBuckets);
    prometheus::Histogram& total = prometheus::BuildHistogram().Name("sardinelb_request_seconds").Help("Time from a request to the end of its answer.").Register(registry).Add({}, latencyBucketsSeconds);
    prometheus::Histogram& first = prometheus::BuildHistogram().Name("sardinelb_first_answer_seconds").Help("Time from a request to the first part of its answer.").Register(registry).Add({}, latencyBucketsSeconds);
    prometheus::Family<prometheus::Counter>& orders = prometheus::BuildCounter().Name("sardinelb_map_orders_total").Help("Orders to ranks by kind and outcome.").Register(registry);
    prometheus::Family<prometheus::Counter>& brokenAnswers = prometheus::BuildCounter().Name("sardinelb_broken_answers_total").Help("Answers of runners, the store and entries that cannot be used.").Register(registry);
    prometheus::Family<prometheus::Histogram>& holds = prometheus::BuildHistogram().Name("sardinelb_pass_hold_seconds").Help("Time for which a pass of a rank group was held.").Register(registry);
    prometheus::Family<prometheus::Counter>& waited = prometheus::BuildCounter().Name("sardinelb_group_waited_seconds_total").Help("Time for which a rank group waited at a held pass.").Register(registry);
};

process_metrics::process_metrics()
    : m_implementation(std::make_unique<implementation>())
{
}

process_metrics::~process_metrics() = default;

void process_metrics::recordRequest(const std::string& outcome, duration total)
{
    m_implementation->requests.Add({ { "outcome", outcome } }).Increment();
    m_implementation->total.Observe(seconds(total));
}

void process_metrics::recordTimeToFirstByte(duration sinceArrival)
{
    m_implementation->first.Observe(seconds(sinceArrival));
}

void process_metrics::recordChoice(duration reportAge, std::size_t sentOnReport)
{
    m_implementation->reportAge.Observe(seconds(reportAge));
    m_implementation->sentOnReport.Observe(static_cast<double>(sentOnReport));
}

void process_metrics::setLoadSpreads(const std::unordered_map<group_id, double>& spreads)
{
    auto& gauges = m_implementation->loadSpreads;
    for (const auto& [group, gauge] : gauges) {
        if (!spreads.contains(group))
            m_implementation->loadSpread.Remove(gauge);
    }
    std::erase_if(gauges, [&](const auto& entry) { return !spreads.contains(entry.first); });
    for (const auto& [group, spread] : spreads) {
        prometheus::Gauge& gauge = m_implementation->loadSpread.Add({ { "group", group.value() } });
        gauge.Set(spread);
        gauges[group] = &gauge;
    }
}

void process_metrics::count(const std::string& event)
{
    m_implementation->events.Add({ { "event", event } }).Increment();
}

void process_metrics::setMemory(const std::string& use, std::size_t bytes)
{
    m_implementation->memory.Add({ { "use", use } }).Set(static_cast<double>(bytes));
}

void process_metrics::recordHold(const std::string& group, duration held, duration waited)
{
    m_implementation->holds.Add({ { "group", group } }, holdBucketsSeconds).Observe(seconds(held));
    m_implementation->waited.Add({ { "group", group } }).Increment(seconds(waited));
}

void process_metrics::countOrder(const std::string& order, const std::string& outcome)
{
    m_implementation->orders.Add({ { "order", order }, { "outcome", outcome } }).Increment();
}

void process_metrics::countBrokenAnswer(const std::string& question, const std::string& reason)
{
    m_implementation->brokenAnswers.Add({ { "question", question }, { "reason", reason } }).Increment();
}

std::string process_metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_implementation->registry.Collect());
}

}
