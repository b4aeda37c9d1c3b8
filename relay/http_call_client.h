#pragma once

#include "relay/http_field.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

namespace sardinelb {

// An HTTP client for short calls to services. Reuses idle connections and sends one call at a time on each. A call keeps at most the
// longest body that its response can have, a head of 8 KiB and 16 KiB of unparsed input.
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
        // The longest body that the call can have as its response. The connection is closed as soon as more is announced or sent.
        std::uint64_t maxBodyBytes = 65536;
        // Called just before the response handler if bytes arrived that are no valid response to this call, with the reason in a few
        // words such as "body_too_long". Not called if nothing arrived in time. May be empty.
        std::function<void(std::string_view reason)> onBroken;
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
