#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/any_io_executor.hpp>

namespace sardinelb {

struct http_response_head;

// One request to a runner and its answer, on a connection of its own. Not safe for use from several threads.
class runner_exchange : public std::enable_shared_from_this<runner_exchange> {
public:
    enum class ending {
        // The answer ended as its framing says.
        Complete,
        // There was no connection, and nothing was sent.
        NotConnected,
        // The connection ended, or what came is no answer.
        Broken,
    };

    struct hooks {
        std::function<void(const http_response_head&)> head;
        // A part of the body, without the framing.
        std::function<void(std::string_view)> body;
        // Called once, unless cancel() was called before.
        std::function<void(ending)> end;
    };

    runner_exchange(const boost::asio::any_io_executor&, hooks);
    ~runner_exchange();

    // `address` is an IP number and a port.
    void start(const std::string& address, std::string request);

    // Closes the connection, which ends the runner's work. No hook is called afterwards.
    void cancel();

    // Stops and continues the reading of the answer, for callers that take it slowly.
    void pause();
    void resume();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

}
