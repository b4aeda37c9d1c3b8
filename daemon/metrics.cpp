#include "daemon/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace sardinelb {

namespace {

prometheus::Gauge& addGauge(prometheus::Registry& registry, const std::string& name, const std::string& help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

}

struct metrics::implementation {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& answers = prometheus::BuildCounter()
                                                           .Name("sardinelb_answers_total")
                                                           .Help("Answers to callers by code.")
                                                           .Register(registry);
    prometheus::Family<prometheus::Counter>& decisions = prometheus::BuildCounter()
                                                             .Name("sardinelb_decisions_total")
                                                             .Help("Decisions by the part that made them.")
                                                             .Register(registry);
    prometheus::Counter& rejected = prometheus::BuildCounter()
                                        .Name("sardinelb_rejected_connections_total")
                                        .Help("Connections between daemons that were closed as not authentic or broken.")
                                        .Register(registry)
                                        .Add({});
    prometheus::Counter& peerBytes = prometheus::BuildCounter()
                                         .Name("sardinelb_peer_bytes_sent_total")
                                         .Help("Bytes of frames sent to other daemons.")
                                         .Register(registry)
                                         .Add({});
    prometheus::Gauge& configVersion = addGauge(registry, "sardinelb_config_version", "Configuration version in force.");
    prometheus::Gauge& inFlight = addGauge(registry, "sardinelb_in_flight", "Requests or attempts that have not ended.");
    prometheus::Gauge& peers = addGauge(registry, "sardinelb_connected_peers", "Authenticated connections to daemons.");
    prometheus::Histogram& firstPart = prometheus::BuildHistogram()
                                           .Name("sardinelb_first_part_seconds")
                                           .Help("Time from the arrival of a request to the first part of its answer.")
                                           .Register(registry)
                                           .Add({}, prometheus::Histogram::BucketBoundaries { 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 0.8, 2, 5, 10, 30 });
};

metrics::metrics()
    : m_implementation(std::make_unique<implementation>())
{
}

metrics::~metrics() = default;

void metrics::countResponse(const std::string& code)
{
    m_implementation->answers.Add({ { "code", code } }).Increment();
}

void metrics::countDecision(const std::string& part)
{
    m_implementation->decisions.Add({ { "part", part } }).Increment();
}

void metrics::countRejectedConnection()
{
    m_implementation->rejected.Increment();
}

void metrics::countPeerBytes(double bytes)
{
    m_implementation->peerBytes.Increment(bytes);
}

void metrics::setConfigVersion(double version)
{
    m_implementation->configVersion.Set(version);
}

void metrics::setInFlight(double count)
{
    m_implementation->inFlight.Set(count);
}

void metrics::setConnectedPeers(double count)
{
    m_implementation->peers.Set(count);
}

void metrics::observeFirstPart(double seconds)
{
    m_implementation->firstPart.Observe(seconds);
}

std::string metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_implementation->registry.Collect());
}

}
