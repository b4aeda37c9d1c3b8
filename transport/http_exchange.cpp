#include "transport/http_exchange.h"

namespace sardinelb {

http_exchange::http_exchange(http_request request)
    : m_request(std::move(request))
{
}

void http_exchange::respond(int status, const std::string& contentType, std::string body, headers extra)
{
    if (std::exchange(m_hasBegun, true)) {
        abort();
        return;
    }
    enqueue({ output_kind::Complete, status, contentType, std::move(extra), std::move(body) });
}

void http_exchange::startStream(int status, const std::string& contentType, headers extra)
{
    if (std::exchange(m_hasBegun, true)) {
        abort();
        return;
    }
    enqueue({ output_kind::Head, status, contentType, std::move(extra), {} });
}

void http_exchange::write(std::string bytes)
{
    enqueue({ output_kind::Bytes, 0, {}, {}, std::move(bytes) });
}

void http_exchange::finish()
{
    enqueue({ output_kind::End, 0, {}, {}, {} });
}

void http_exchange::abort()
{
    enqueue({ output_kind::Abort, 0, {}, {}, {} });
}

void http_exchange::enqueue(output next)
{
    m_outputs.push_back(std::move(next));
    if (m_wakeSession)
        m_wakeSession();
}

}
