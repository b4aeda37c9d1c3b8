#pragma once

#include <functional>
#include <memory>

namespace sardinelb::stand_ins {

class event_loop;
struct http_client_response;
struct http_client_request;

// Sends HTTP requests one after another over one connection, which it keeps open between requests to the same address.
class http_client {
public:
    explicit http_client(event_loop&);
    ~http_client();
    http_client(http_client&&) noexcept;
    http_client& operator=(http_client&&) noexcept;

    // Sends the request and calls the action once with the answer. The client must outlive the call, and must not be
    // used again before the answer.
    void send(const http_client_request&, std::function<void(const http_client_response&)> callback);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

}
