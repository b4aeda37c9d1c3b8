#pragma once

#include "transport/http_request.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace sardinelb {

// An HTTP request and its response. The handler keeps a shared pointer and responds once, immediately or later, with
// either respond() or startStream(), write() and finish(). A second response is never written into the first: it aborts a
// response that has not ended. Used on the network thread.
class http_exchange {
public:
    using headers = std::vector<std::pair<std::string, std::string>>;

    explicit http_exchange(http_request);

    const http_request& request() const { return m_request; }

    // Sends a complete response.
    void respond(int status, const std::string& contentType, std::string body, headers = {});

    // Starts a chunked response.
    void startStream(int status, const std::string& contentType, headers = {});
    void write(std::string bytes);
    void finish();

    // Closes the connection without terminating the response, so that the client detects that it is incomplete.
    void abort();

    // Called when bytes passed to write() have been handed to the operating system.
    std::function<void(std::size_t bytes)> onWritten;
    // Called when the connection closes before the response is complete.
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
    bool m_hasBegun = false;
    // Set by the session; signals that there is output to write.
    std::function<void()> m_wakeSession;
};

}
