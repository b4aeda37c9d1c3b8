#include "daemon/admin_api.h"

#include "daemon/decision_log.h"
#include "daemon/key_digest.h"
#include "daemon/metrics.h"
#include "tests/support/net_fixture.h"
#include "tests/support/raw_connection.h"
#include "transport/http_exchange.h"
#include "transport/http_server.h"
#include "transport/socket_address.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace sardinelb {

namespace {

// The operator API behind a real HTTP server.
class admin_api_test : public testing::Test {
protected:
    admin_api_test()
    {
        admin_api::hooks hooks;
        hooks.isReady = [] { return true; };
        hooks.status = [this](const std::function<void(std::string)>& answer) {
            if (!isBusy)
                answer("{}");
            return !isBusy;
        };
        hooks.push = [](const std::string&, const std::function<void(bool)>& answer) { answer(false); };
        api = std::make_unique<admin_api>(keyDigest("secret"), counters, decisions, std::move(hooks));
        server = std::make_unique<http_server>(
            net.net(), http_limits {}, [this](const std::shared_ptr<http_exchange>& exchange) { api->handle(exchange); },
            [](int, const std::string& text) { return text; });
        port = net.run([this] { return server->listen({ "127.0.0.1", 0 }).value(); });
    }

    ~admin_api_test() override
    {
        net.run([this] {
            server.reset();
            return 0;
        });
    }

    std::string get(const std::string& target, const std::string& key = "secret") const
    {
        auto connection = raw_connection::to(port);
        connection.send("GET " + target + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer " + key
            + "\r\n\r\n");
        return connection.receiveAll();
    }

    net_fixture net;
    metrics counters;
    decision_log decisions;
    std::unique_ptr<admin_api> api;
    std::unique_ptr<http_server> server;
    std::uint16_t port = 0;
    bool isBusy = false;
};

TEST_F(admin_api_test, operationsNeedTheOperatorsKey)
{
    EXPECT_TRUE(get("/admin/status", "wrong").starts_with("HTTP/1.1 401"));
    EXPECT_TRUE(get("/admin/explain?request=r", "").starts_with("HTTP/1.1 401"));
    EXPECT_TRUE(get("/admin/status").starts_with("HTTP/1.1 200"));
    EXPECT_TRUE(get("/metrics", "").starts_with("HTTP/1.1 200"));
}

TEST_F(admin_api_test, unknownOperationIsNotFound)
{
    EXPECT_TRUE(get("/admin/else").starts_with("HTTP/1.1 404"));
    EXPECT_TRUE(get("/admin/explain").starts_with("HTTP/1.1 400"));
}

// Guards against an operator who waits forever for the status of an overloaded daemon.
TEST_F(admin_api_test, statusOfABusyDaemonIsRefused)
{
    isBusy = true;
    EXPECT_TRUE(get("/admin/status").starts_with("HTTP/1.1 503"));
}

// Guards against an exception that leaves the operator without a response.
TEST_F(admin_api_test, requestIdThatIsNotUtf8IsAnswered)
{
    EXPECT_TRUE(get("/admin/explain?request=\xff").starts_with("HTTP/1.1 200"));
    EXPECT_TRUE(get("/healthz").starts_with("HTTP/1.1 200"));
}

}

}
