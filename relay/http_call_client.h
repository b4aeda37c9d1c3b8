#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>

namespace sardinelb {

// A client for short calls to services: one call at a time on a connection, and connections are used again.
// Not safe for use from several threads.
class http_call_client {
public:
    struct call {
        // An IP number and a port.
        std::string address;
        std::string method = "GET";
        std::string target;
        std::string body;
        // From the start of the call to the end of its answer.
        std::chrono::milliseconds timeout { 1000 };
    };

    struct reply {
        int status = 0;
        std::string body;
    };

    // Gets nothing if no whole answer came in time; the call may then have been carried out.
    using receiver = std::function<void(std::optional<reply>)>;

    explicit http_call_client(boost::asio::any_io_executor);
    ~http_call_client();

    void start(call, receiver);

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

}
