#pragma once

#include "transport/http_request.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace sardinelb {

// One request and its answer. The handler keeps a shared pointer and answers once, now or later, either by respond()
// or by startStream(), write() and finish(). Runs on the net thread.
class http_exchange {
public:
    using headers = std::vector<std::pair<std::string, std::string>>;

    explicit http_exchange(http_request);

    const http_request& request() const { return m_request; }

    // Sends a whole answer.
    void respond(int status, const std::string& contentType, std::string body, headers = {});

    // Begins an answer in chunks.
    void startStream(int status, const std::string& contentType, headers = {});
    void write(std::string bytes);
    void finish();

    // Closes the connection without ending the answer, so that the caller sees that it is broken.
    void abort();

    // Called when bytes given to write() have been handed to the operating system.
    std::function<void(std::size_t bytes)> onWritten;
    // Called when the caller closes the connection before the answer has ended.
    std::function<void()> onClosed;

private:
    friend class http_session;

    enum class output_kind {
        Complete,
        Head,
        Bytes,
        End,
        Abort,
    };

    struct output {
        output_kind kind;
        int status = 0;
        std::string contentType;
        headers extraHeaders;
        std::string bytes;
    };

    void enqueue(output);

    http_request m_request;
    std::deque<output> m_outputs;
    // Set by the session; wakes it up.
    std::function<void()> m_wakeSession;
};

}
