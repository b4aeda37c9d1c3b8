#include "tests/stand_ins/sse_stream.h"

#include <sstream>

namespace sardinelb::stand_ins {

namespace {

void parseLine(sse_stream& stream, const std::string& line)
{
    const std::string field = "data: ";
    const bool isComment = line.starts_with(":");
    if (line.empty() || isComment)
        return;
    // The load driver doesn't check event names.
    if (!stream.done && line.starts_with("event: "))
        return;
    if (stream.done || !line.starts_with(field))
        stream.hasUnexpectedLines = true;
    else if (line == field + "[DONE]")
        stream.done = true;
    else
        stream.events.push_back(line.substr(field.size()));
}

}

sse_stream parseSseStream(const std::string& body)
{
    sse_stream stream;
    std::istringstream lines(body);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.ends_with('\r'))
            line.pop_back();
        parseLine(stream, line);
    }
    return stream;
}

}
