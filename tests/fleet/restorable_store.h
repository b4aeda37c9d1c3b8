#pragma once

#include "fleet/http_listener.h"
#include "platform/store_client.h"
#include "relay/http_request_message.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace sardinelb::test {

// A store with the history of its rows, which can come back from a copy of an earlier state.
class restorable_store {
public:
    explicit restorable_store(boost::asio::io_context& context)
        : m_context(context)
    {
    }

    void listen(const std::string& address)
    {
        http_server_connection::hooks hooks;
        hooks.onRequest = [this](const std::shared_ptr<http_server_connection>& caller, http_request_message&& message) { onRequest(caller, message); };
        hooks.onRejected = [](int, const char*) {};
        m_listener = std::make_shared<http_listener>(m_context.get_executor(), std::move(hooks));
        std::string problem;
        ASSERT_TRUE(m_listener->listen(address, problem)) << problem;
    }

    void put(const std::string& table, const std::string& key, const std::string& value)
    {
        ++m_state.revision;
        m_state.rows[{ table, key }] = { key, value, row_revision(m_state.revision), false };
    }

    void remove(const std::string& table, const std::string& key)
    {
        ++m_state.revision;
        m_state.rows[{ table, key }] = { key, "", row_revision(m_state.revision), true };
    }

    // Raises the counter of revisions, as transactions in other tables do.
    void skipRevisions(std::uint64_t count) { m_state.revision += count; }

    // Keeps a copy of the current state.
    void copy() { m_copy = m_state; }

    // Loses everything written since the copy.
    void restore()
    {
        m_state = m_copy;
        ++m_epoch;
    }

    const std::vector<std::string>& writes() const { return m_writes; }

private:
    struct state {
        std::uint64_t revision = 0;
        std::map<std::pair<std::string, std::string>, platform::store_row> rows;
    };

    // How long a call for changes waits until it is answered.
    static constexpr std::chrono::milliseconds feedDelay { 30 };

    void onRequest(const std::shared_ptr<http_server_connection>& caller, const http_request_message& message)
    {
        if (message.target == "/v1/rows-tx") {
            m_writes.push_back(message.body);
            ++m_state.revision;
            respond(caller, 200, R"({"ver":1,"now_ms":1})");
            return;
        }
        if (message.target.find("rows-feed") == std::string::npos) {
            respond(caller, 200, encode(valueOf(message.target, "table"), 0, false));
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(m_context, feedDelay);
        timer->async_wait([this, timer, caller, target = message.target](const boost::system::error_code&) { respondToFeed(caller, target); });
    }

    void respondToFeed(const std::shared_ptr<http_server_connection>& caller, const std::string& target)
    {
        const std::uint64_t after = std::stoull(valueOf(target, "after"));
        if (after > m_state.revision)
            respond(caller, 410, "{}");
        else
            respond(caller, 200, encode(valueOf(target, "table"), after, true));
    }

    void respond(const std::shared_ptr<http_server_connection>& caller, int status, const std::string& body) const
    {
        caller->respond(status, "Store-Era: " + std::to_string(m_epoch) + "\r\n", body);
    }

    static std::string valueOf(const std::string& target, const std::string& name)
    {
        const std::size_t begin = target.find(name + "=") + name.size() + 1;
        return target.substr(begin, target.find('&', begin) - begin);
    }

    std::string encode(const std::string& table, std::uint64_t after, bool hasRemoved) const
    {
        namespace json = boost::json;
        std::vector<platform::store_row> rows;
        for (const auto& [key, row] : m_state.rows) {
            if (key.first == table && row.revision.value() > after && (hasRemoved || !row.isRemoved))
                rows.push_back(row);
        }
        json::value document = json::parse(platform::encodeRows(rows, row_revision(m_state.revision)));
        json::array& list = document.as_object()["rows"].as_array();
        for (std::size_t i = 0; i < rows.size(); ++i)
            list[i].as_object()["removed"] = rows[i].isRemoved;
        return json::serialize(document);
    }

    boost::asio::io_context& m_context;
    std::shared_ptr<http_listener> m_listener;
    state m_state;
    state m_copy;
    std::uint64_t m_epoch = 0;
    std::vector<std::string> m_writes;
};

}
