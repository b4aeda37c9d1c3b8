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

// A caller request in progress.
class caller_session {
public:
    caller_session(request_id, std::shared_ptr<http_exchange>, std::string model, bool stream);

    // Adds generated text: sent at once if the response is streamed, otherwise buffered until the end.
    void addText(const std::string&);

    // Completes the response of a model or of a service.
    void finishChat(const token_usage&);
    void respondFromService(int status, const std::string& contentType, std::string body);

    // Ends with an error. If the stream has already started, the error is sent as an event and the end marker is
    // omitted.
    void fail(int status, const std::string& body, const std::string& retryAfterSeconds);

    // Accounts for `written` bytes of HTTP body that were sent; returns the bytes of generated text in the events
    // that this completes.
    std::int64_t onBodyWritten(std::size_t written);

    bool isStreaming() const { return m_stream; }
    // Text of an answer that is not streamed.
    std::size_t bufferedBytes() const { return m_text.size(); }
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
    // Size of each event passed to the exchange and not yet sent, and of the generated text in it.
    std::deque<std::pair<std::size_t, std::int64_t>> m_eventSizes;
    // Sent body bytes that do not complete the next event yet.
    std::size_t m_unmatchedBytes = 0;
    std::chrono::steady_clock::time_point m_arrival = std::chrono::steady_clock::now();
};

}
