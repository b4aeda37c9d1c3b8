#pragma once

#include "relay/http_field.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

namespace sardinelb {

// An HTTP client for short calls to services. Reuses idle connections and sends one call at a time on each.
// Not safe for use from several threads.
class http_call_client {
public:
    struct call {
        // IP address and port.
        std::string address;
        std::string method = "GET";
        std::string target;
        std::string body;
        // Covers the connection, the request and the whole response.
        std::chrono::milliseconds timeout { 1000 };
    };

    struct reply {
        int status = 0;
        std::string body;
        std::vector<http_field> fields;
    };

    // Called with nothing if no complete and valid response arrived in time; the server may still have executed the call.
    using response_handler = std::function<void(std::optional<reply>)>;

    explicit http_call_client(boost::asio::any_io_executor);
    ~http_call_client();

    void start(call, response_handler);

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

}
