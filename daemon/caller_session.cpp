#include "daemon/caller_session.h"

#include "protocol/chat_response.h"
#include "transport/http_exchange.h"

namespace sardinelb {

namespace {

constexpr int statusOk = 200;

http_exchange::headers idHeader(const request_id& id)
{
    return { { "X-Request-Id", id.value() } };
}

}

caller_session::caller_session(request_id id, std::shared_ptr<http_exchange> exchange, std::string model, bool stream)
    : m_id(std::move(id))
    , m_exchange(std::move(exchange))
    , m_model(std::move(model))
    , m_stream(stream)
{
}

void caller_session::startStream()
{
    if (m_hasStarted)
        return;
    m_hasStarted = true;
    m_exchange->startStream(statusOk, "text/event-stream", idHeader(m_id));
}

void caller_session::addText(const std::string& text)
{
    if (!m_stream) {
        m_text += text;
        return;
    }
    startStream();
    std::string event = chatEvent(m_id, m_model, text);
    m_eventSizes.emplace_back(event.size(), static_cast<std::int64_t>(text.size()));
    m_exchange->write(std::move(event));
}

void caller_session::finishChat(const token_usage& usage)
{
    if (!m_stream) {
        m_exchange->respond(statusOk, "application/json", chatResponse(m_id, m_model, m_text, usage), idHeader(m_id));
        return;
    }
    startStream();
    m_exchange->write(chatFinalEvents(m_id, m_model, usage));
    m_exchange->finish();
}

void caller_session::respondFromService(int status, const std::string& contentType, std::string body)
{
    const std::string type = contentType.empty() ? "application/octet-stream" : contentType;
    m_exchange->respond(status, type, std::move(body), idHeader(m_id));
}

void caller_session::fail(int status, const std::string& body, const std::string& retryAfterSeconds)
{
    if (m_hasStarted) {
        m_exchange->write(chatErrorEvent(body));
        m_exchange->abort();
        return;
    }
    http_exchange::headers headers = idHeader(m_id);
    if (!retryAfterSeconds.empty())
        headers.emplace_back("Retry-After", retryAfterSeconds);
    m_exchange->respond(status, "application/json", body, std::move(headers));
}

std::int64_t caller_session::onBodyWritten(std::size_t written)
{
    std::int64_t text = 0;
    m_unmatchedBytes += written;
    while (!m_eventSizes.empty() && m_eventSizes.front().first <= m_unmatchedBytes) {
        m_unmatchedBytes -= m_eventSizes.front().first;
        text += m_eventSizes.front().second;
        m_eventSizes.pop_front();
    }
    return text;
}

}
