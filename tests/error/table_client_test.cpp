#include "transport/table_client.h"

#include "tests/support/scripted_server.h"

#include <gtest/gtest.h>

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace sardinelb {

namespace {

// Results of all kinds of call for one behaviour of the table service; nullopt means success.
struct call_results {
    std::optional<state_errc> transact;
    std::optional<state_errc> putObject;
    std::optional<state_errc> readRow;
    std::optional<state_errc> readRange;
    std::optional<state_errc> readObject;
};

template <typename T>
std::optional<state_errc> codeOf(const state_result<T>& result)
{
    return result.has_value() ? std::nullopt : std::optional(result.error().code);
}

call_results callAll(const scripted_server& server)
{
    const table_service table = makeTableClient({ "127.0.0.1", server.port() }, std::chrono::seconds(20));
    table_transaction transaction;
    transaction.puts.push_back({ "k", "v" });
    return { codeOf(table.transact(transaction)), codeOf(table.putObject("k", "v")), codeOf(table.readRow("k")),
        codeOf(table.readRange("a", "b", 1)), codeOf(table.readObject("k")) };
}

call_results answering(int status, const std::string& body)
{
    const scripted_server server([&](raw_connection& connection) {
        try {
            connection.receiveUntil("\r\n\r\n");
            connection.send("HTTP/1.1 " + std::to_string(status) + " X\r\nConnection: close\r\nContent-Length: "
                + std::to_string(body.size()) + "\r\n\r\n" + body);
            connection.shutdownSend();
            connection.receiveAll();
        } catch (const std::exception&) {
            // The client has closed the connection of a response that is too long.
        }
    });
    return callAll(server);
}

void expectReads(const call_results& results, state_errc expected)
{
    EXPECT_EQ(results.readRow, expected);
    EXPECT_EQ(results.readRange, expected);
    EXPECT_EQ(results.readObject, expected);
}

void expectWrites(const call_results& results, state_errc expected)
{
    EXPECT_EQ(results.transact, expected);
    EXPECT_EQ(results.putObject, expected);
}

// Nothing was sent, so the write can be retried.
TEST(table_client_test, refusedConnectionIsUnavailable)
{
    const scripted_server server;
    const auto results = callAll(server);
    expectWrites(results, state_errc::Unavailable);
    expectReads(results, state_errc::Unavailable);
}

// Guards against reporting a write that took effect as failed.
TEST(table_client_test, lostAnswerIsUnknownForWritesOnly)
{
    const scripted_server server([](raw_connection& connection) { connection.receiveUntil("\r\n\r\n"); });
    const auto results = callAll(server);
    expectWrites(results, state_errc::OutcomeUnknown);
    expectReads(results, state_errc::Unavailable);
}

TEST(table_client_test, truncatedAnswerIsUnknownForWritesOnly)
{
    const scripted_server server([](raw_connection& connection) {
        connection.receiveUntil("\r\n\r\n");
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"revision\":");
    });
    const auto results = callAll(server);
    expectWrites(results, state_errc::OutcomeUnknown);
    expectReads(results, state_errc::Unavailable);
}

TEST(table_client_test, status503IsUnavailable)
{
    const auto results = answering(503, "{}");
    expectWrites(results, state_errc::Unavailable);
    expectReads(results, state_errc::Unavailable);
}

// Guards against treating an error after the commit, or one from a proxy in between, as "no effect".
TEST(table_client_test, otherServerErrorsAreUnknownForWritesOnly)
{
    for (const int status : { 500, 502, 504 }) {
        const auto results = answering(status, "{}");
        expectWrites(results, state_errc::OutcomeUnknown);
        expectReads(results, state_errc::Unavailable);
    }
}

// Guards against taking an answer that is none for a read, or for a write without effect.
TEST(table_client_test, statusOutOfRangeIsUnknownForWritesOnly)
{
    for (const int status : { 100, 101, 600, 999 }) {
        const call_results results = answering(status, "{}");
        expectReads(results, state_errc::Unavailable);
        expectWrites(results, state_errc::OutcomeUnknown);
    }
}

// Guards against taking the bytes of a transfer coding for an object.
TEST(table_client_test, bodyWithATransferCodingIsNoObject)
{
    const scripted_server server([](raw_connection& connection) {
        connection.receiveUntil("\r\n\r\n");
        connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n");
        connection.shutdownSend();
        connection.receiveAll();
    });
    const call_results results = callAll(server);
    expectReads(results, state_errc::Unavailable);
    expectWrites(results, state_errc::OutcomeUnknown);
}

TEST(table_client_test, status404IsAMissingRow)
{
    const auto results = answering(404, "{}");
    expectWrites(results, state_errc::Unavailable);
    EXPECT_EQ(results.readRow, std::nullopt);
    EXPECT_EQ(results.readRange, state_errc::Unavailable);
    EXPECT_EQ(results.readObject, std::nullopt);
}

TEST(table_client_test, conflictNamesTheRow)
{
    const scripted_server server([](raw_connection& connection) {
        connection.receiveUntil("\r\n\r\n");
        const std::string body = R"({"failed":{"key":"change/1","revision":4,"value":"theirs"}})";
        connection.send("HTTP/1.1 409 Conflict\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        connection.receiveAll();
    });
    const auto result = makeTableClient({ "127.0.0.1", server.port() }, std::chrono::seconds(20)).transact({});
    ASSERT_FALSE(result.has_value());
    EXPECT_EQ(result.error().code, state_errc::Conflict);
    EXPECT_EQ(result.error().subject, "change/1");
    EXPECT_EQ(result.error().detail, "theirs");
}

// Guards against an exception on a field of the wrong type, which would terminate the daemon.
TEST(table_client_test, conflictWithFieldsOfOtherTypesIsAConflict)
{
    EXPECT_EQ(answering(409, R"({"failed":{"key":7,"value":[]}})").transact, state_errc::Conflict);
}

// A transaction with an unreadable response may have taken effect; a read never has an effect.
TEST(table_client_test, unreadableAnswerIsUnknownForTransactions)
{
    for (const char* body : { "", "{", "[]", "{\"revision\":-1}", "{\"key\":1}", "{\"rows\":[1]}", "\xff" }) {
        const auto results = answering(200, body);
        EXPECT_EQ(results.transact, state_errc::OutcomeUnknown) << body;
        EXPECT_EQ(results.readRow, state_errc::Unavailable) << body;
        EXPECT_EQ(results.readRange, state_errc::Unavailable) << body;
    }
}

// Guards against a daemon that one response takes past the memory of its machine.
TEST(table_client_test, responsesBeyondTheirQuestionAreRefused)
{
    std::string numbers = "{\"revision\":1,\"rows\":[";
    for (int i = 0; i < 1000000; ++i)
        numbers += "0,";
    const auto parsed = answering(200, numbers + "0]}");
    EXPECT_EQ(parsed.transact, state_errc::OutcomeUnknown);
    EXPECT_EQ(parsed.readRow, state_errc::Unavailable);
    EXPECT_EQ(parsed.readRange, state_errc::Unavailable);
    const auto longer = answering(200, numbers + std::string(std::size_t { 40 } << 20U, ' ') + "0]}");
    expectReads(longer, state_errc::Unavailable);
    expectWrites(longer, state_errc::OutcomeUnknown);
}

// Guards against a change log that stands still because its next rows are too many for a response.
TEST(table_client_test, rowsBeyondAResponseComeInSmallerRanges)
{
    std::vector<int> limits;
    const scripted_server server([&limits](raw_connection& connection) {
        const std::string request = connection.receiveUntil("\r\n\r\n");
        const int limit = std::stoi(request.substr(request.find("limit=") + 6));
        limits.push_back(limit);
        std::string body = R"({"rows":[)";
        for (int i = 0; i < limit; ++i)
            body += std::string(i == 0 ? "" : ",") + R"({"key":"change/)" + std::to_string(i) + R"(","revision":1,"value":")" + std::string(524'288, 'x') + "\"}";
        body += "]}";
        try {
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
            connection.receiveAll();
        } catch (const std::exception&) {
            // The client has closed the connection of a response that is too long.
        }
    });
    const auto rows = makeTableClient({ "127.0.0.1", server.port() }, std::chrono::seconds(20)).readRange("a", "b", 200);
    ASSERT_TRUE(rows.has_value());
    EXPECT_EQ(rows.value().size(), 12U);
    EXPECT_EQ(limits, (std::vector<int> { 200, 50, 12 }));
}

// The largest snapshot for 12,000 teams takes a few megabytes.
TEST(table_client_test, largeSnapshotIsRead)
{
    EXPECT_EQ(answering(200, std::string(std::size_t { 24 } << 20U, 'x')).readObject, std::nullopt);
}

}

}
