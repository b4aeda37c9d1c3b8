#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/any_io_executor.hpp>

namespace sardinelb {

struct http_response_head;

// One HTTP request to a runner and its response, on a dedicated connection. Not safe for use from several threads.
class runner_exchange : public std::enable_shared_from_this<runner_exchange> {
public:
    enum class result {
        // The response is complete according to its framing.
        Complete,
        // The response has neither a length nor chunks, and its connection was closed in order. It is complete, unless the
        // runner has ended.
        EndedByClose,
        // The connection could not be established; nothing was sent.
        NotConnected,
        // The connection closed early, or the response is malformed.
        Broken,
    };

    struct hooks {
        // Called with the head of the final response. Interim (1xx) responses are skipped.
        std::function<void(const http_response_head&)> onHead;
        // Called with each part of the body, without transfer framing.
        std::function<void(std::string_view)> onBody;
        // Called once, unless cancel() is called first.
        std::function<void(result)> onEnd;
    };

    runner_exchange(const boost::asio::any_io_executor&, hooks);
    ~runner_exchange();

    // Connects to `address`, an IP address and port, and sends the serialized `request`.
    void start(const std::string& address, std::string request);

    // Closes the connection, which makes the runner stop its work. No callback is called afterwards.
    void cancel();

    // Pauses and resumes reading the response, to apply backpressure from a slow caller.
    void pause();
    void resume();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

}
