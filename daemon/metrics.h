#pragma once

#include <memory>
#include <string>

namespace sardinelb {

// Prometheus metrics of one daemon. Thread-safe. docs/OPERATIONS.md describes each metric.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    // Increments sardinelb_answers_total by 1 for the code ("ok" or an error code).
    void countResponse(const std::string& code);
    // Increments sardinelb_decisions_total by 1 for the component that made the decision, such as "route".
    void countDecision(const std::string& part);
    // Increments sardinelb_rejected_connections_total by 1.
    void countRejectedConnection();
    // Adds to sardinelb_peer_bytes_sent_total.
    void countPeerBytes(double);
    void setConfigVersion(double);
    void setInFlight(double);
    void setConnectedPeers(double);
    // Records the time from the arrival of a request to the first part of its answer.
    void observeFirstPart(double seconds);

    // Returns all metrics in the Prometheus text format.
    std::string text() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

}
