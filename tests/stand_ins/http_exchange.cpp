#include "tests/stand_ins/http_exchange.h"

#include <utility>

namespace sardinelb::stand_ins {

http_exchange::http_exchange(http_request request)
    : m_request(std::move(request))
{
}

void http_exchange::respond(int status, std::string body, std::string contentType)
{
    if (m_kind != response_kind::None)
        return;
    m_kind = response_kind::Complete;
    m_status = status;
    m_body = std::move(body);
    m_contentType = std::move(contentType);
    m_ended = true;
    notifyChange();
}

void http_exchange::startStream(std::string contentType)
{
    if (m_kind != response_kind::None)
        return;
    m_kind = response_kind::Stream;
    m_contentType = std::move(contentType);
    notifyChange();
}

void http_exchange::write(const std::string& bytes)
{
    if (m_kind != response_kind::Stream || m_ended)
        return;
    m_body += bytes;
    notifyChange();
}

void http_exchange::endStream()
{
    if (m_kind != response_kind::Stream)
        return;
    m_ended = true;
    notifyChange();
}

void http_exchange::closeConnection()
{
    if (m_ended)
        return;
    m_kind = response_kind::Close;
    m_ended = true;
    notifyChange();
}

void http_exchange::setDisconnectCallback(std::function<void()> callback)
{
    if (m_peerDisconnected)
        callback();
    else
        m_onDisconnect = std::move(callback);
}

void http_exchange::onDisconnected()
{
    if (m_ended)
        return;
    closeConnection();
    m_peerDisconnected = true;
    if (m_onDisconnect)
        m_onDisconnect();
}

void http_exchange::notifyChange()
{
    if (m_onChange)
        m_onChange();
}

}
