#pragma once

#include <memory>
#include <string>

namespace sardinelb {

// Counters and gauges of one daemon. Safe to use from any thread. docs/OPERATIONS.md describes each metric.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    // Adds 1 to sardinelb_answers_total for the code ("ok" or an error code).
    void countResponse(const std::string& code);
    // Adds 1 to sardinelb_decisions_total for the part that decided, as in "route".
    void countDecision(const std::string& part);
    // Adds 1 to sardinelb_rejected_connections_total.
    void countRejectedConnection();
    // Adds to sardinelb_peer_bytes_sent_total.
    void countPeerBytes(double);
    void setConfigVersion(double);
    void setInFlight(double);
    void setConnectedPeers(double);
    // Seconds from the arrival of a request to the first part of its answer.
    void observeFirstPart(double seconds);

    // All metrics in the Prometheus text format.
    std::string text() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

}
