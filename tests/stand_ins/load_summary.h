#pragma once

#include "tests/stand_ins/call_counts.h"
#include "tests/stand_ins/load_request.h"
#include "tests/stand_ins/response_verdict.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sardinelb::stand_ins {

// Results of a run of the load driver.
class load_summary {
public:
    // Records the verdict on the last response to a request, and the number of times that the request was resent.
    void add(const load_request&, const response_verdict&, std::uint64_t resent);

    // Records the result of the comparison with the call counts of the services.
    void setComparison(const count_differences&);

    // Records that the call counts of the services could not be read.
    void setComparisonFailure(const std::string& reason);

    // Whether every request was answered or rejected as not run, and the call counts of the services agree.
    bool hasPassed() const;

    // Returns the report as a JSON object (docs/stand-ins.md).
    std::string toJson(double seconds) const;

private:
    struct kind_counts {
        std::uint64_t sent = 0;
        std::uint64_t resent = 0;
        std::map<response_class, std::uint64_t> results;
    };

    void addExample(const std::string&);

    std::map<load_request_kind, kind_counts> m_kinds;
    std::vector<std::string> m_examples;
    count_differences m_differences;
    std::string m_comparison = "none";
};

}
