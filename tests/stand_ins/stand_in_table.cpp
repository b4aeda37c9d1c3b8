#include "state/table_transaction.h"
#include "tests/stand_ins/command_line.h"
#include "tests/stand_ins/event_loop.h"
#include "tests/stand_ins/fault_middleware.h"
#include "tests/stand_ins/guarded_main.h"
#include "tests/stand_ins/http_exchange.h"
#include "tests/stand_ins/json_fields.h"
#include "tests/stand_ins/server_options.h"
#include "tests/stand_ins/table_store.h"

#include <charconv>
#include <stdexcept>

namespace sardinelb::stand_ins {

namespace {

table_transaction::condition parseCondition(const nlohmann::json& field)
{
    if (field.value("absent", false))
        return { stringField(field, "key"), row_revision(0) };
    return { stringField(field, "key"), row_revision(numberField(field, "revision")) };
}

table_transaction parseTransaction(const nlohmann::json& body)
{
    const auto none = nlohmann::json::array();
    table_transaction transaction;
    for (const auto& field : body.value("conditions", none))
        transaction.conditions.push_back(parseCondition(field));
    for (const auto& field : body.value("puts", none))
        transaction.puts.emplace_back(stringField(field, "key"), stringField(field, "value"));
    for (const auto& field : body.value("deletes", none))
        transaction.deletes.push_back(field.get<std::string>());
    return transaction;
}

nlohmann::json toJson(const table_row& row)
{
    return { { "key", row.key }, { "value", row.value }, { "revision", row.revision.value() } };
}

std::string requiredParameter(const http_request& request, const std::string& name)
{
    const auto found = request.query.find(name);
    if (found == request.query.end())
        throw std::invalid_argument("parameter '" + name + "' is missing");
    return found->second;
}

std::size_t parseLimit(const http_request& request)
{
    constexpr std::size_t defaultLimit = 1000;
    const auto found = request.query.find("limit");
    if (found == request.query.end())
        return defaultLimit;
    std::size_t limit = 0;
    const auto& text = found->second;
    if (std::from_chars(text.data(), text.data() + text.size(), limit).ec != std::errc())
        throw std::invalid_argument("parameter 'limit' must be a number");
    return limit;
}

// Fake table service, served over HTTP.
class table_program {
public:
    table_program(event_loop& loop, std::uint64_t seed)
        : m_faults(loop, seed, { "lose_answers" })
    {
    }

    http_handler handler()
    {
        return m_faults.wrap([this](const std::shared_ptr<http_exchange>& exchange) { serve(*exchange); });
    }

private:
    void serve(http_exchange& exchange)
    {
        const auto& request = exchange.request();
        if (request.path == "/v1/transact" && request.method == "POST")
            transact(exchange);
        else if (request.path == "/v1/rows" && request.method == "GET")
            readRow(exchange);
        else if (request.path == "/v1/range" && request.method == "GET")
            readRange(exchange);
        else if (request.path == "/v1/objects" && request.method == "PUT")
            putObject(exchange);
        else if (request.path == "/v1/objects" && request.method == "GET")
            readObject(exchange);
        else if (request.path == "/admin/counts")
            exchange.respond(200, toText({ { "reads", m_reads }, { "writes", m_writes } }));
        else
            exchange.respond(404, errorBody("unknown path or method"));
    }

    void transact(http_exchange& exchange)
    {
        ++m_writes;
        const auto result = m_store.transact(parseTransaction(parseObject(exchange.request().body)));
        if (result.failed)
            exchange.respond(409, toText({ { "failed", toJson(*result.failed) } }));
        else
            respondToWrite(exchange, toText({ { "revision", result.revision.value() } }));
    }

    void readRow(http_exchange& exchange)
    {
        ++m_reads;
        const auto row = m_store.row(requiredParameter(exchange.request(), "key"));
        if (row)
            exchange.respond(200, toText(toJson(*row)));
        else
            exchange.respond(404, errorBody("no such row"));
    }

    void readRange(http_exchange& exchange)
    {
        ++m_reads;
        const auto& request = exchange.request();
        auto rows = nlohmann::json::array();
        for (const auto& row : m_store.range(requiredParameter(request, "from"), requiredParameter(request, "to"), parseLimit(request)))
            rows.push_back(toJson(row));
        exchange.respond(200, toText({ { "rows", rows } }));
    }

    void putObject(http_exchange& exchange)
    {
        ++m_writes;
        m_store.putObject(requiredParameter(exchange.request(), "key"), exchange.request().body);
        respondToWrite(exchange, "{}");
    }

    void readObject(http_exchange& exchange)
    {
        ++m_reads;
        const auto object = m_store.object(requiredParameter(exchange.request(), "key"));
        if (object)
            exchange.respond(200, *object, "application/octet-stream");
        else
            exchange.respond(404, errorBody("no such object"));
    }

    // Responds to an executed write, or closes the connection if the response is to be lost.
    void respondToWrite(http_exchange& exchange, const std::string& body)
    {
        if (m_faults.drawFault(m_faults.settings().loseAnswers))
            exchange.closeConnection();
        else
            exchange.respond(200, body);
    }

    fault_middleware m_faults;
    table_store m_store;
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
};

void runTable(int argc, char** argv)
{
    server_options options;
    command_line line("stand_in_table");
    addServerOptions(line, options);
    line.parse(argc, argv);

    event_loop loop;
    table_program program(loop, options.seed);
    serveHttp(loop, static_cast<std::uint16_t>(options.port), program.handler());
    loop.run();
}

}

}

int main(int argc, char** argv)
{
    return sardinelb::stand_ins::guardedMain([&] { sardinelb::stand_ins::runTable(argc, argv); });
}
