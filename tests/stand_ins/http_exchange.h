#pragma once

#include "tests/stand_ins/http_request.h"

#include <functional>
#include <string>

namespace sardinelb::stand_ins {

// One request and the answer to it. A handler ends it with exactly one of respond(), endStream() or
// closeConnection(), at once or later. Calls after the end or after the peer has gone have no effect.
class http_exchange {
public:
    explicit http_exchange(http_request);

    const http_request& request() const { return m_request; }

    // Answers with a whole body, which is JSON unless a content type is given.
    void respond(int status, std::string body, std::string contentType = "application/json");

    // Answers 200 with a body of unknown length; write() adds to it and endStream() ends it.
    void startStream(std::string contentType);
    void write(const std::string& bytes);
    void endStream();

    // Closes the connection without an answer, or within one.
    void closeConnection();

    // Calls the action once if the peer closes the connection before the exchange has ended; at once if it already
    // has.
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
    // The body of a whole answer, or the part of a stream that the connection has not yet sent.
    std::string m_body;
    bool m_ended = false;
    bool m_peerDisconnected = false;
    std::function<void()> m_onDisconnect;
    // Wakes the connection that sends the answer.
    std::function<void()> m_onChange;
};

}
