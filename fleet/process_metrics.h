#pragma once

#include "state/time.h"

#include <memory>
#include <string>

namespace sardinelb {

// Counters and latency histograms of one process, in the text format of Prometheus.
class process_metrics {
public:
    process_metrics();
    ~process_metrics();

    // Counts the end of a caller's request, by its outcome and the time until then.
    void requestEnded(const std::string& outcome, duration total);

    // Notes the time to the first part of a runner's answer, from the caller's request.
    void answerBegan(duration sinceArrival);

    // Counts another event, such as a retry.
    void count(const std::string& event);

    std::string text() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

}
