#pragma once

#include <functional>
#include <memory>

namespace sardinelb::stand_ins {

class event_loop;
struct http_client_response;
struct http_client_request;

// Sends HTTP requests one at a time over one connection, which stays open between requests to the same address.
class http_client {
public:
    explicit http_client(event_loop&);
    ~http_client();
    http_client(http_client&&) noexcept;
    http_client& operator=(http_client&&) noexcept;

    // Sends the request and calls the callback once with the response. The client must outlive the request and must
    // not be used again before the callback.
    void send(const http_client_request&, std::function<void(const http_client_response&)> callback);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

}
