#pragma once

#include "state/ids.h"
#include "state/time.h"

#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>

namespace sardinelb {

// Counters and latency histograms of one process, exported in the Prometheus text format.
class process_metrics {
public:
    process_metrics();
    ~process_metrics();

    // Records a finished request with its outcome and total time.
    void recordRequest(const std::string& outcome, duration total);

    // Records the time from the arrival of a request to the first part of a runner's response.
    void recordTimeToFirstByte(duration sinceArrival);

    // Records a choice of a model runner: the age of its last load report, and how many requests this entry has sent on that report.
    void recordChoice(duration reportAge, std::size_t sentOnReport);

    // Sets the standard deviation of running requests over the ranks of a group, by the last reports.
    void setLoadSpreads(const std::unordered_map<group_id, double>&);

    // Counts an event, such as a retry.
    void count(const std::string& event);

    // Sets the bytes in use for callers of one kind, such as bodies.
    void setMemory(const std::string& use, std::size_t bytes);

    // Records the time for which a pass of a rank group was held, and the part of it in which the group waited.
    void recordHold(const std::string& group, duration held, duration waited);

    // Counts an order to a rank by its kind and outcome.
    void countOrder(const std::string& order, const std::string& outcome);

    // Counts an answer to a question of this process that cannot be used.
    void countBrokenAnswer(const std::string& question, const std::string& reason);

    std::string text() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

}
