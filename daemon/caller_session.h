#pragma once

#include "coordination/queueing/token_usage.h"
#include "state/ids.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <utility>

namespace sardinelb {

class http_exchange;

// One request of a caller whose answer has not ended.
class caller_session {
public:
    caller_session(request_id, std::shared_ptr<http_exchange>, std::string model, bool stream);

    // Adds generated text. A streamed answer sends it on; a plain one keeps it until the end.
    void addText(const std::string&);

    // Ends the answer of a model or of a plain service.
    void finishChat(const token_usage&);
    void respondFromService(int status, const std::string& contentType, std::string body);

    // Ends with an error. Once a stream has begun, the error is an event and the end mark is missing.
    void fail(int status, const std::string& body, const std::string& retryAfterSeconds);

    // Bytes of generated text that left with `written` bytes of HTTP body.
    std::int64_t onBodyWritten(std::size_t written);

    bool isStreaming() const { return m_stream; }
    bool hasStarted() const { return m_hasStarted; }
    std::chrono::steady_clock::time_point arrivalTime() const { return m_arrival; }
    const std::shared_ptr<http_exchange>& exchange() const { return m_exchange; }

private:
    void startStream();

    request_id m_id;
    std::shared_ptr<http_exchange> m_exchange;
    std::string m_model;
    bool m_stream;
    bool m_hasStarted = false;
    std::string m_text;
    // Size of each event that has been written to the exchange, and of the text in it.
    std::deque<std::pair<std::size_t, std::int64_t>> m_eventSizes;
    std::size_t m_unmatchedBytes = 0;
    std::chrono::steady_clock::time_point m_arrival = std::chrono::steady_clock::now();
};

}
