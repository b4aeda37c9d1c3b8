#pragma once

#include "daemon/caller_api.h"
#include "daemon/directory.h"
#include "daemon/key_digest.h"
#include "daemon/metrics.h"
#include "state/configuration_parser.h"
#include "tests/support/event_wait.h"
#include "tests/support/net_fixture.h"
#include "tests/support/raw_connection.h"
#include "transport/http_exchange.h"
#include "transport/http_server.h"
#include "transport/socket_address.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <vector>

namespace sardinelb {

// The caller API of an entry behind a real HTTP server. The hooks only record the requests that arrive.
class caller_fixture : public testing::Test {
protected:
    caller_fixture()
    {
        caller_api::hooks hooks;
        hooks.onRequest = [this](const caller_request& request) {
            events.change([&] { arrived.push_back(request); });
            return takesRequests;
        };
        hooks.onCallerDisconnected = [](const request_id&) {};
        hooks.onCallerRead = [](const request_id&, byte_count) {};
        hooks.onAnswerTooLong = [this](const request_id& id) { events.change([&] { tooLong.push_back(id); }); };
        api = std::make_unique<caller_api>("entry-0-1-", maxBufferedBytes, counters, std::move(hooks));
        server = std::make_unique<http_server>(
            net.net(), http_limits {}, [this](const std::shared_ptr<http_exchange>& exchange) { api->handle(exchange); },
            [](int, const std::string& text) { return text; });
        port = net.run([this] { return server->listen({ "127.0.0.1", 0 }).value(); });
    }

    ~caller_fixture() override
    {
        net.run([this] {
            server.reset();
            return 0;
        });
    }

    void configure()
    {
        const std::string document = R"({"pools":[{"id":"assist-llm","kind":"model","wanted_runners":0},)"
                                     R"({"id":"dispatch-app","kind":"service","wanted_runners":0}],)"
                                     R"("models":[{"id":"large","pool":"assist-llm"}],)"
                                     R"("services":[{"id":"POST /bookings","pool":"dispatch-app"}],)"
                                     R"("teams":[{"id":"acme","key_digests":[")"
            + keyDigest("secret")
            + R"("],"contract":{"tokens_per_second":1000,"requests_per_second":10,)"
              R"("service_class":"interactive","answer_within_ms":30000}}]})";
        const auto parsed = parseConfiguration(document, "test");
        ASSERT_TRUE(parsed.has_value()) << describe(parsed.error().front());
        const auto names = name_index::build(parsed.value());
        ASSERT_TRUE(names.has_value());
        const auto next = std::make_shared<const directory>(directory { parsed.value(), names.value() });
        net.run([&] {
            api->setDirectory(next);
            api->setReady(true);
            return 0;
        });
    }

    // Sends one request on a new connection and returns the complete response.
    std::string exchange(const std::string& start, const std::string& body, const std::string& headers = "")
    {
        auto connection = raw_connection::to(port);
        connection.send(start + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + headers
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        return connection.receiveAll();
    }

    // Checks status and code of an error response, and that the request was not run. Returns the message.
    std::string messageOf(const std::string& answer, int status, const std::string& code)
    {
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 " + std::to_string(status) + " ")) << answer;
        const auto body = nlohmann::json::parse(answer.substr(answer.find("\r\n\r\n") + 4), nullptr, false);
        if (!body.is_object() || !body.contains("error")) {
            ADD_FAILURE() << answer;
            return {};
        }
        EXPECT_EQ(body["error"]["code"], code);
        EXPECT_EQ(body["error"]["execution"], "not_run");
        const std::string id = body["error"]["request_id"].get<std::string>();
        EXPECT_NE(answer.find("X-Request-Id: " + id + "\r\n"), std::string::npos) << answer;
        return body["error"]["message"].get<std::string>();
    }

    static constexpr std::size_t maxBufferedBytes = 1000;
    const std::string key = "Authorization: Bearer secret\r\n";
    const std::string chatBody = R"({"model":"large","messages":[{"role":"user","content":"hi"}]})";

    net_fixture net;
    event_wait events;
    metrics counters;
    std::unique_ptr<caller_api> api;
    std::unique_ptr<http_server> server;
    std::uint16_t port = 0;
    bool takesRequests = true;
    // Guarded by `events`.
    std::vector<caller_request> arrived;
    std::vector<request_id> tooLong;
};

}
