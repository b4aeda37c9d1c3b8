#include "platform/bounded_document.h"
#include "platform/rank_client.h"
#include "platform/store_client.h"
#include "platform/table_follower.h"
#include "relay/http_call_client.h"
#include "tests/support/scripted_server.h"

#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace sardinelb::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::string repeated(const std::string& text, std::size_t count)
{
    std::string result;
    result.reserve(text.size() * count);
    for (std::size_t i = 0; i < count; ++i)
        result += text;
    return result;
}

// `count` times the number, as a list.
std::string listOf(const std::string& number, std::size_t count)
{
    return "[" + repeated(number + ",", count - 1) + number + "]";
}

std::string framed(const std::string& body, const std::string& status = "200")
{
    return "HTTP/1.1 " + status + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chunked(const std::string& body, std::size_t chunkBytes)
{
    std::string bytes = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t begin = 0; begin < body.size(); begin += chunkBytes) {
        const std::string part = body.substr(begin, chunkBytes);
        char size[20];
        std::snprintf(size, sizeof size, "%zx\r\n", part.size());
        bytes += size + part + "\r\n";
    }
    return bytes + "0\r\n\r\n";
}

}

// A server that sends the same bytes as its answer to each question, and the clients that ask.
class answer_size : public testing::Test {
protected:
    void serve(const std::string& bytes)
    {
        m_server.reset();
        m_server = std::make_unique<scripted_server>([this, bytes](raw_connection& connection) {
            try {
                connection.receiveUntil("\r\n\r\n");
                connection.send(bytes);
                connection.shutdownSend();
                connection.receiveAll();
            } catch (const std::exception&) {
                ++m_brokenOff;
            }
        });
        m_reason.clear();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_server->port()); }

    template <typename Result, typename Ask>
    std::optional<Result> ask(Ask start)
    {
        platform::rank_client client(m_context.get_executor(), 1000, [this](std::string_view question, std::string_view reason) { m_reason = std::string(question) + " " + std::string(reason); });
        std::optional<Result> result;
        bool isEnded = false;
        start(client, [&](std::optional<Result> response) {
            result = std::move(response);
            isEnded = true;
        });
        runUntil(isEnded);
        return result;
    }

    std::optional<platform::runner_report> report()
    {
        return ask<platform::runner_report>([this](auto& client, auto handler) { client.readReport(address(), handler); });
    }

    std::optional<platform::held_experts> experts()
    {
        return ask<platform::held_experts>([this](auto& client, auto handler) { client.readExperts(address(), handler); });
    }

    std::optional<platform::expert_choices> choices()
    {
        return ask<platform::expert_choices>([this](auto& client, auto handler) { client.readChoices(address(), handler); });
    }

    std::optional<map_order_result> order(map_order::kind action)
    {
        return ask<map_order_result>([&](auto& client, auto handler) {
            map_order sent;
            sent.action = action;
            client.send(address(), sent, true, handler);
        });
    }

    template <typename Ask>
    platform::store_response store(Ask start)
    {
        platform::store_client client(m_context.get_executor(), address(), [this](std::string_view question, std::string_view reason) { m_reason = std::string(question) + " " + std::string(reason); });
        platform::store_response result;
        bool isEnded = false;
        start(client, [&](platform::store_response response) {
            result = std::move(response);
            isEnded = true;
        });
        runUntil(isEnded);
        return result;
    }

    platform::store_response table()
    {
        return store([](auto& client, auto handler) { client.read("servers", "", handler); });
    }

    platform::store_response changes()
    {
        return store([](auto& client, auto handler) { client.follow("servers", row_revision(1), milliseconds(10), handler); });
    }

    void runUntil(const bool& isEnded)
    {
        m_context.restart();
        const auto begin = std::chrono::steady_clock::now();
        while (!isEnded && std::chrono::steady_clock::now() - begin < seconds(20))
            m_context.run_one_for(milliseconds(20));
        EXPECT_TRUE(isEnded);
    }

    std::atomic<int> m_brokenOff = 0;
    std::unique_ptr<scripted_server> m_server;
    boost::asio::io_context m_context;
    std::string m_reason;
};

// Guards against an agent that one answer takes past the memory of its machine: all of it was read, and parsed into a tree many
// times its size, before a field was looked at.
TEST_F(answer_size, numbersWithoutNeed_8MiB_refusedForEachQuestion)
{
    const std::string body = "{\"counts\":" + listOf("0", 4000000) + "}";
    for (const std::string& bytes : { framed(body), chunked(body, 65536), chunked(body.substr(0, 2000000), 7) }) {
        serve(bytes);
        EXPECT_FALSE(report());
        EXPECT_EQ(m_reason, "report body_too_long");
        EXPECT_FALSE(experts());
        EXPECT_EQ(m_reason, "experts body_too_long");
        EXPECT_FALSE(choices());
        EXPECT_EQ(m_reason, "choices body_too_long");
        EXPECT_EQ(order(map_order::kind::Release), map_order_result::Unanswered);
        EXPECT_EQ(m_reason, "order body_too_long");
    }
    serve(framed(body));
    EXPECT_EQ(table().result, platform::store_response::outcome::Unreachable);
    EXPECT_EQ(m_reason, "table body_too_long");
}

// Guards against a document within the length of its question that takes many times its memory.
TEST_F(answer_size, shapesWithinTheLength_parsed_memoryIsBounded)
{
    const std::size_t bytes = 500000;
    const std::vector<std::string> shapes {
        listOf("0", bytes / 2),
        listOf("[]", bytes / 3),
        listOf("{}", bytes / 3),
        "{" + repeated("\"\":0,", bytes / 5) + "\"\":0}",
        "{" + repeated("\"k\":[],", bytes / 7) + "\"\":0}",
        listOf("{\"a\":[]}", bytes / 9),
        repeated("[", 30) + listOf("0", bytes / 2) + repeated("]", 30),
        "[" + repeated("[[[[[[[[[[]]]]]]]]]],", bytes / 21) + "0]",
        "\"" + std::string(bytes, 'x') + "\"",
        "\"" + repeated("\\u00e9", bytes / 6) + "\"",
        listOf("1e308", bytes / 6),
        std::string(bytes, '9'),
        repeated("[", bytes),
    };
    for (const std::string& shape : shapes) {
        platform::document_error error = platform::document_error::None;
        const std::size_t limit = std::size_t { 1 } << 20;
        const auto document = platform::parseBounded(shape, limit, error);
        EXPECT_EQ(document.has_value(), error == platform::document_error::None) << shape.substr(0, 40);
        serve(framed("{\"map\":" + shape + "}"));
        EXPECT_FALSE(experts()) << shape.substr(0, 40);
        EXPECT_FALSE(m_reason.empty()) << shape.substr(0, 40);
    }
    platform::document_error error = platform::document_error::None;
    EXPECT_FALSE(platform::parseBounded(listOf("0", bytes / 2), std::size_t { 1 } << 20, error));
    EXPECT_EQ(error, platform::document_error::TooLarge);
}

// Guards against heads that are not bounded, and against calls that are not made again after one.
TEST_F(answer_size, longHeads_refused_nextAnswerIsRead)
{
    const std::string sound = R"({"active":3,"born":1,"size":0})";
    for (const std::string& head : { "X: " + std::string(100000, 'x') + "\r\n", repeated("X: y\r\n", 20000), std::string("X: y\r\n") + std::string(70000, 'q') }) {
        serve(std::string("HTTP/1.1 200 OK\r\n").append(head).append("\r\n").append(sound));
        EXPECT_FALSE(report());
        EXPECT_EQ(m_reason.substr(0, 7), "report ");
        serve(framed(sound));
        ASSERT_TRUE(report());
        EXPECT_EQ(report()->load.running, 3U);
    }
}

// Guards against bounds that refuse the answers of the largest groups.
TEST_F(answer_size, largestAnswers_read_whole)
{
    // A datagram to the coordinator has room for so many.
    serve(framed(R"({"epoch":1,"counts":)" + listOf("18446744073709551615", 60000) + "}"));
    const auto counts = choices();
    ASSERT_TRUE(counts) << m_reason;
    EXPECT_EQ(counts->choices.size(), 60000U);
    const std::string sets = "[" + repeated(listOf("65535", 1800) + ",", 15) + listOf("65535", 1800) + "]";
    serve(framed(R"({"step":1,"epoch":1,"map":{"version":4503599627370495,"experts":)" + sets + R"(},"prepared":{"version":4503599627370495,"experts":)" + sets + "}}"));
    const auto held = experts();
    ASSERT_TRUE(held) << m_reason;
    EXPECT_EQ(held->experts.size(), 16U);
    const std::string models = "[" + repeated(R"({"name":"a-model-of-some-name","version":12,"adapters":["one","two"]},)", 600) + "{}]";
    serve(framed(R"({"active":3,"size":96,"step":5,"models":)" + models + R"(,"group":{"name":")" + std::string(1024, 'g') + R"(","epoch":1,"rank":95,"state":"open"}})"));
    ASSERT_TRUE(report()) << m_reason;
    EXPECT_EQ(report()->groupSize, 96U);
}

// Guards against an entry that cannot read the store's largest pages, and against one that waits for ever for changes that are too long.
TEST_F(answer_size, storeAnswers_1MBRead_moreRefused)
{
    const auto rows = [](std::size_t count, std::size_t valueBytes) {
        std::string text = R"({"rows":[)";
        for (std::size_t i = 0; i < count; ++i)
            text += (i == 0 ? "" : ",") + (R"({"table":"servers","part":"","key":"k)" + std::to_string(i) + R"(","value":")") + std::string(valueBytes, 'A') + R"(","ver":5})";
        return text + R"(],"ver":9,"has_more":true})";
    };
    for (const std::size_t count : { 500U, 12U }) {
        serve(framed(rows(count, 1000000 / count)));
        const auto response = table();
        EXPECT_EQ(response.result, platform::store_response::outcome::Done) << m_reason;
        EXPECT_EQ(response.rows.size(), count);
    }
    serve(framed(rows(100, 60000)));
    EXPECT_EQ(changes().result, platform::store_response::outcome::TooLong);
    EXPECT_EQ(m_reason, "changes body_too_long");
    EXPECT_EQ(table().result, platform::store_response::outcome::Unreachable);
    serve(framed(R"({"rows":)" + listOf("0", 1900000) + "}"));
    EXPECT_EQ(table().result, platform::store_response::outcome::Unreachable);
    EXPECT_EQ(m_reason, "table document_too_large");
}

// Guards against an entry that keeps an old table for good, because the changes since then are longer than a response may be.
TEST_F(answer_size, changesTooLong_followed_tableIsReadWhole)
{
    std::atomic<int> reads = 0;
    m_server = std::make_unique<scripted_server>([&reads](raw_connection& connection) {
        try {
            const bool isFollow = connection.receiveUntil("\r\n\r\n").find("/v1/rows-feed") != std::string::npos;
            const std::string revision = std::to_string(isFollow ? 9 : ++reads);
            const std::string value = isFollow ? std::string(std::size_t { 5 } << 20U, 'A') : "QUFB";
            connection.send(framed(R"({"rows":[{"key":"k","value":")" + value + R"(","ver":)" + revision + R"(}],"ver":)" + revision + "}"));
            connection.shutdownSend();
            connection.receiveAll();
        } catch (const std::exception&) {
            // The client has closed the connection of a response that is too long.
        }
    });
    platform::store_client client(m_context.get_executor(), address());
    std::vector<std::uint64_t> snapshots;
    bool isEnded = false;
    platform::table_follower::hooks hooks;
    hooks.rows = [&](const std::vector<platform::store_row>&, bool isFullSnapshot, store_revision revision) {
        EXPECT_TRUE(isFullSnapshot);
        snapshots.push_back(revision.revision.value());
        isEnded = snapshots.size() == 3;
    };
    hooks.reachable = [](bool) {};
    platform::table_follower::settings settings;
    settings.table = "servers";
    const auto follower = std::make_shared<platform::table_follower>(m_context.get_executor(), client, settings, hooks);
    follower->start();
    runUntil(isEnded);
    EXPECT_EQ(snapshots, (std::vector<std::uint64_t> { 1, 2, 3 }));
}

// Guards against a pass with two maps: a rank that has refused an arm or hold order seemed to have accepted it by one wrong status.
TEST_F(answer_size, secondAnswerToAnArmOrderDiffers_countsAsUnanswered)
{
    for (const auto action : { map_order::kind::Arm, map_order::kind::Hold }) {
        std::atomic<int> answers = 0;
        m_server = std::make_unique<scripted_server>([&answers](raw_connection& connection) {
            try {
                while (connection.receiveUntil("\r\n\r\n").ends_with("\r\n\r\n"))
                    connection.send(framed("", ++answers == 1 ? "202" : "409"));
            } catch (const std::exception&) {
            }
        });
        EXPECT_EQ(order(action), map_order_result::Unanswered);
        EXPECT_EQ(m_reason, "order contradicted");
        m_server.reset();
    }
    serve(framed("", "202"));
    EXPECT_EQ(order(map_order::kind::Arm), map_order_result::Accepted);
    serve(framed("", "409"));
    EXPECT_EQ(order(map_order::kind::Arm), map_order_result::Refused);
}

}
