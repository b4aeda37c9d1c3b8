#pragma once

#include <string>
#include <vector>

namespace sardinelb::stand_ins {

// A stream of server-sent events that ends with "data: [DONE]".
struct sse_stream {
    // Data of the events before the end.
    std::vector<std::string> events;
    // Whether the end was found.
    bool done = false;
    // Whether there is anything but comments and empty lines after the end, or a line that is no event at all.
    bool hasUnexpectedLines = false;
};

// Splits the body of an answer into events of one data line each.
sse_stream parseSseStream(const std::string& body);

}
