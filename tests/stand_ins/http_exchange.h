#pragma once

#include "tests/stand_ins/http_request.h"

#include <functional>
#include <string>

namespace sardinelb::stand_ins {

// One request and its response. The handler ends it with exactly one of respond(), endStream() or closeConnection(),
// at once or later. Calls after the end or after the peer has disconnected have no effect.
class http_exchange {
public:
    explicit http_exchange(http_request);

    const http_request& request() const { return m_request; }

    // Sends a complete response, with a JSON body unless another content type is given.
    void respond(int status, std::string body, std::string contentType = "application/json");

    // Starts a response with status 200 and a body of unknown length; write() appends to it and endStream() ends it.
    void startStream(std::string contentType);
    void write(const std::string& bytes);
    void endStream();

    // Closes the connection without a response, or in the middle of one.
    void closeConnection();

    // The callback runs once if the peer disconnects before the exchange has ended; immediately if it already has.
    void setDisconnectCallback(std::function<void()> callback);

private:
    friend class http_connection;

    enum class response_kind {
        None,
        Complete,
        Stream,
        Close,
    };

    void onDisconnected();
    void notifyChange();

    http_request m_request;
    response_kind m_kind = response_kind::None;
    int m_status = 0;
    std::string m_contentType;
    // Body of a complete response, or the part of a stream that is not sent yet.
    std::string m_body;
    bool m_ended = false;
    bool m_peerDisconnected = false;
    std::function<void()> m_onDisconnect;
    // Wakes the connection that sends the response.
    std::function<void()> m_onChange;
};

}
