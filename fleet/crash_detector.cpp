#include "fleet/crash_detector.h"

#include "fleet/steady_time.h"
#include "relay/endpoint.h"

#include <chrono>
#include <memory>

#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace sardinelb {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Well above the round trip between availability zones.
constexpr std::chrono::milliseconds probeTimeout { 250 };

// All connections to a process that ends break within this time. Afterwards a new probe is due.
constexpr duration suspicionLifetime = std::chrono::seconds(1);

struct probe_connection {
    explicit probe_connection(const asio::any_io_executor& executor)
        : socket(executor)
        , timer(executor)
    {
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
};

}

crash_detector::crash_detector(asio::any_io_executor executor, hooks callbacks)
    : m_executor(std::move(executor))
    , m_hooks(std::move(callbacks))
{
}

void crash_detector::onAttemptBroken(const std::string& address, const runner_crash& crash, receiver onResult)
{
    removeExpired(steadyNow());
    const runner_process_id process = crash.process;
    const auto [known, isNew] = m_suspicions.try_emplace(process);
    known->second.pending.push_back({ crash, std::move(onResult) });
    if (isNew) {
        known->second.startedAt = steadyNow();
        probe(address, process);
    } else if (known->second.hasEnded) {
        asio::post(m_executor, [this, process] { onProbed(process, true); });
    }
}

void crash_detector::probe(const std::string& address, runner_process_id process)
{
    const auto endpoint = tcpEndpoint(address);
    if (!endpoint) {
        asio::post(m_executor, [this, process] { onProbed(process, false); });
        return;
    }
    const auto connection = std::make_shared<probe_connection>(m_executor);
    connection->timer.expires_after(probeTimeout);
    connection->timer.async_wait([connection](const error_code& error) {
        error_code ignored; // The connection may be closed already.
        if (!error)
            connection->socket.close(ignored);
    });
    connection->socket.async_connect(*endpoint, [this, connection, process](const error_code& error) {
        connection->timer.cancel();
        onProbed(process, error == asio::error::connection_refused);
    });
}

void crash_detector::onProbed(runner_process_id process, bool hasEnded)
{
    const auto known = m_suspicions.find(process);
    if (known == m_suspicions.end())
        return;
    const std::vector<broken_attempt> pending = std::move(known->second.pending);
    known->second.pending.clear();
    if (hasEnded)
        known->second.hasEnded = true;
    else
        m_suspicions.erase(known);
    // All evidence is recorded before the first request goes on.
    std::vector<outcome> outcomes(pending.size(), outcome::Running);
    for (std::size_t i = 0; hasEnded && i < pending.size(); ++i)
        outcomes[i] = m_hooks.onCrash(pending[i].crash) ? outcome::EndedByRequest : outcome::Ended;
    for (std::size_t i = 0; i < pending.size(); ++i)
        pending[i].onResult(outcomes[i]);
}

void crash_detector::removeExpired(time_point now)
{
    std::erase_if(m_suspicions, [&](const auto& entry) { return entry.second.pending.empty() && now - entry.second.startedAt > suspicionLifetime; });
}

}
