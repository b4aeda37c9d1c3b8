#pragma once

#include "fleet/entry_process.h"
#include "fleet/event_log.h"
#include "fleet/http_listener.h"
#include "platform/settings.h"
#include "platform/store_client.h"
#include "relay/http_request_message.h"
#include "relay/http_response_head.h"
#include "relay/runner_exchange.h"
#include "tests/support/port_reservation.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sardinelb::test {

// Response as received by a caller.
struct caller_result {
    int status = 0;
    std::map<std::string, std::string> fields;
    std::string body;
    runner_exchange::result exchangeResult = runner_exchange::result::NotConnected;
    bool isEnded = false;
    std::chrono::milliseconds took {};
};

// A runner that responds as the test specifies and records the requests that it receives.
struct stand_in_runner {
    using behaviour = std::function<void(const std::shared_ptr<http_server_connection>&, const http_request_message&)>;

    std::string id;
    std::string address;
    std::string pool;
    behaviour onRequest;
    std::vector<http_request_message> received;
    std::size_t callerDisconnects = 0;
    std::shared_ptr<http_listener> server;
};

inline std::string fieldOf(const http_request_message& message, const std::string& name)
{
    for (const http_field& field : message.fields) {
        if (field.name == name)
            return field.value;
    }
    return {};
}

// Ports that an entry uses for traffic between daemons.
inline constexpr std::uint16_t peerPorts = 4;

// An entry, a store and runners in one thread, connected by loopback sockets.
class entry_fixture : public testing::Test {
protected:
    entry_fixture()
        : m_log("test-entry")
    {
        m_settings.daemon = daemon_id("test-entry");
        m_settings.ip = "127.0.0.1";
        m_settings.callerAddress = freeAddress();
        m_settings.readyAddress = freeAddress();
        m_settings.storeAddress = freeAddress();
        m_settings.firstPeerPort = port_reservation::reserve(peerPorts);
        m_settings.retries = { 0.2, 88, std::chrono::seconds(10) };
        m_configuration = defaultConfiguration();
    }

    static std::string defaultConfiguration()
    {
        return R"({"version":7,"routes":[
            {"name":"book","hostname":"h.example","prefix":"/book/","route_type":"unsafe","timeout_ms":1000,"target_latency_ms":100,"priority":1,"service":"plain","attempts":2},
            {"name":"look","hostname":"h.example","prefix":"/look/","route_type":"safe","timeout_ms":1000,"target_latency_ms":100,"priority":1,"service":"plain","attempts":2},
            {"name":"short","hostname":"h.example","prefix":"/short/","route_type":"unsafe","timeout_ms":200,"target_latency_ms":100,"priority":1,"service":"plain","attempts":1},
            {"name":"open","hostname":"h.example","prefix":"/open/","route_type":"safe","timeout_ms":1000,"target_latency_ms":100,"service":"plain","attempts":1,"public":true},
            {"name":"write","hostname":"h.example","prefix":"/write/","route_type":"streaming","timeout_ms":8000,"target_latency_ms":500,"priority":1,"service":"plain","attempts":2,"resumable":true,"target_gap_ms":120}],
            "services":[{"name":"plain","health_path":"/healthz","max_conns":100}],
            "limits":{"max_header_bytes":4096,"max_body_bytes":10000,"header_timeout_ms":300,"idle_timeout_ms":2000},
            "tenants":[{"name":"crew","api_keys":["k1","k2"],"priority":1}]})";
    }

    stand_in_runner& addRunner(const std::string& id, stand_in_runner::behaviour onRequest)
    {
        auto runner = std::make_unique<stand_in_runner>();
        runner->id = id;
        runner->address = freeAddress();
        runner->pool = "plain";
        runner->onRequest = std::move(onRequest);
        http_server_connection::hooks hooks;
        hooks.onRequest = [raw = runner.get()](const std::shared_ptr<http_server_connection>& caller, http_request_message&& message) {
            raw->received.push_back(message);
            caller->setDisconnectHandler([raw] { ++raw->callerDisconnects; });
            raw->onRequest(caller, message);
        };
        hooks.onRejected = [](int, const char*) {};
        runner->server = std::make_shared<http_listener>(m_context.get_executor(), std::move(hooks));
        std::string problem;
        EXPECT_TRUE(runner->server->listen(runner->address, problem)) << problem;
        m_rows[id] = R"({"service":"plain","address":")" + runner->address + R"(","zone":"z","version":"v1","slots":6,"state":"ready","cold_left_ms":0,"seq":1,"born":1000})";
        m_runners.push_back(std::move(runner));
        return *m_runners.back();
    }

    // Lists a runner whose address has no listener.
    void addUnreachableRunner(const std::string& id)
    {
        m_rows[id] = R"({"service":"plain","address":")" + freeAddress() + R"(","zone":"z","version":"v1","slots":6,"state":"ready","seq":1,"born":1000})";
    }

    void startStore()
    {
        http_server_connection::hooks hooks;
        hooks.onRequest = [this](const std::shared_ptr<http_server_connection>& caller, http_request_message&& message) { respondAsStore(caller, message); };
        hooks.onRejected = [](int, const char*) {};
        m_store = std::make_shared<http_listener>(m_context.get_executor(), std::move(hooks));
        std::string problem;
        ASSERT_TRUE(m_store->listen(m_settings.storeAddress, problem)) << problem;
    }

    // Starts the entry and, by default, waits until it is ready.
    void startEntry(bool waitsUntilReady = true)
    {
        m_entry = std::make_unique<entry_process>(m_context, m_settings, m_log);
        ASSERT_TRUE(m_entry->start());
        if (!waitsUntilReady)
            return;
        for (int i = 0; i < 100 && readiness() != 200; ++i)
            runFor(std::chrono::milliseconds(10));
        ASSERT_EQ(readiness(), 200);
    }

    int readiness()
    {
        return callAddress(m_settings.readyAddress, "GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").status;
    }

    static std::string request(const std::string& method, const std::string& target, const std::string& fields = "Authorization: Bearer k1\r\n", const std::string& body = "")
    {
        std::string text = method + " " + target + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 2000\r\n" + fields;
        if (method == "POST")
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        return text + "\r\n" + body;
    }

    caller_result call(const std::string& bytes) { return callAddress(m_settings.callerAddress, bytes); }

    caller_result callAddress(const std::string& address, const std::string& bytes)
    {
        const auto result = startCall(address, bytes);
        const auto begin = std::chrono::steady_clock::now();
        while (!result->isEnded && std::chrono::steady_clock::now() - begin < std::chrono::seconds(12))
            m_context.run_one_for(std::chrono::milliseconds(100));
        result->took = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begin);
        EXPECT_TRUE(result->isEnded) << "no response";
        return *result;
    }

    std::shared_ptr<caller_result> startCall(const std::string& address, const std::string& bytes)
    {
        auto result = std::make_shared<caller_result>();
        runner_exchange::hooks hooks;
        hooks.onHead = [result](const http_response_head& head) {
            result->status = head.status;
            for (const http_field& field : head.fields)
                result->fields[field.name] = field.value;
        };
        hooks.onBody = [result](std::string_view part) { result->body += part; };
        hooks.onEnd = [result](runner_exchange::result exchangeResult) {
            result->exchangeResult = exchangeResult;
            result->isEnded = true;
        };
        m_exchange = std::make_shared<runner_exchange>(m_context.get_executor(), std::move(hooks));
        m_exchange->start(address, bytes);
        return result;
    }

    // Sends a request and returns all bytes that the caller receives until the entry closes the connection.
    std::string receiveAll(const std::string& bytes)
    {
        using boost::asio::ip::tcp;
        tcp::socket socket(m_context);
        const std::size_t colon = m_settings.callerAddress.find(':');
        const auto port = static_cast<unsigned short>(std::stoi(m_settings.callerAddress.substr(colon + 1)));
        socket.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
        boost::asio::write(socket, boost::asio::buffer(bytes));
        std::string received;
        bool isClosed = false;
        boost::asio::async_read(socket, boost::asio::dynamic_buffer(received), [&](const boost::system::error_code&, std::size_t) { isClosed = true; });
        const auto begin = std::chrono::steady_clock::now();
        while (!isClosed && std::chrono::steady_clock::now() - begin < std::chrono::seconds(12))
            m_context.run_one_for(std::chrono::milliseconds(100));
        EXPECT_TRUE(isClosed) << "the connection stays open";
        return received;
    }

    void runFor(std::chrono::milliseconds time)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end)
            m_context.run_one_for(std::chrono::milliseconds(5));
    }

    void runAfter(std::chrono::milliseconds time, std::function<void()> action)
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(m_context, time);
        timer->async_wait([timer, action = std::move(action)](const boost::system::error_code&) { action(); });
    }

    static stand_in_runner::behaviour respondsWith(int status, const std::string& body, const std::string& fields = "Attempt-Id: a1\r\nServer-Seal: s.1\r\n")
    {
        return [=](const std::shared_ptr<http_server_connection>& caller, const http_request_message&) { caller->respond(status, fields, body); };
    }

    // Reads the request and closes the connection without a response.
    static stand_in_runner::behaviour aborts()
    {
        return [](const std::shared_ptr<http_server_connection>& caller, const http_request_message&) { caller->abort(); };
    }

    static stand_in_runner::behaviour isSilent()
    {
        return [](const std::shared_ptr<http_server_connection>&, const http_request_message&) {};
    }

    std::size_t receivedRequests() const
    {
        std::size_t count = 0;
        for (const auto& runner : m_runners)
            count += runner->received.size();
        return count;
    }

    static std::string freeAddress()
    {
        return "127.0.0.1:" + std::to_string(port_reservation::reserve(1));
    }

    boost::asio::io_context m_context;
    event_log m_log;
    platform::settings m_settings;
    std::string m_configuration;
    // Rows of the table of runners.
    std::map<std::string, std::string> m_rows;
    // Rows of the table of quarantined prompt parts.
    std::map<std::string, std::string> m_quarantineRows;
    // Bodies of the writes to the store, and the status with which it responds to them.
    std::vector<std::string> m_writes;
    int m_writeStatus = 200;
    // HTTP status of all responses of the store; 0 for normal responses.
    int m_storeErrorStatus = 0;
    std::uint64_t m_revision = 10;
    std::vector<std::unique_ptr<stand_in_runner>> m_runners;
    std::shared_ptr<http_listener> m_store;
    std::unique_ptr<entry_process> m_entry;
    std::shared_ptr<runner_exchange> m_exchange;

private:
    void respondAsStore(const std::shared_ptr<http_server_connection>& caller, const http_request_message& message)
    {
        if (m_storeErrorStatus != 0) {
            caller->respond(m_storeErrorStatus, "", "");
            return;
        }
        if (message.target == "/v1/rows-tx") {
            m_writes.push_back(message.body);
            caller->respond(m_writeStatus, "", R"({"ver":11,"now_ms":1})");
            return;
        }
        const bool isQuarantine = message.target.find("table=quarantine") != std::string::npos;
        const bool isConfiguration = message.target.find("table=op") != std::string::npos;
        const bool isFeed = message.target.find("rows-feed") != std::string::npos;
        std::vector<platform::store_row> rows;
        if (isQuarantine) {
            for (const auto& [id, value] : m_quarantineRows)
                rows.push_back({ id, value, row_revision(m_revision), false });
        } else if (isConfiguration) {
            rows.push_back({ "config", m_configuration, row_revision(m_revision), false });
        } else {
            for (const auto& [id, value] : m_rows)
                rows.push_back({ id, value, row_revision(m_revision), false });
        }
        const std::string body = platform::encodeRows(rows, row_revision(m_revision));
        // Responses to a feed are delayed, as in a long poll.
        if (isFeed)
            runAfter(std::chrono::milliseconds(50), [caller, body] { caller->respond(200, "", body); });
        else
            caller->respond(200, "", body);
    }
};

}
