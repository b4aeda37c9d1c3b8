#pragma once

#include <string>
#include <vector>

namespace sardinelb::stand_ins {

// Parsed stream of server-sent events that ends with "data: [DONE]".
struct sse_stream {
    // Data of the events before [DONE].
    std::vector<std::string> events;
    // Whether [DONE] was found.
    bool done = false;
    // Whether anything but comments and empty lines follows [DONE], or a line is not part of an event.
    bool hasUnexpectedLines = false;
};

// Parses a response body whose events have one data line each.
sse_stream parseSseStream(const std::string& body);

}
