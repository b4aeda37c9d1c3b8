#include "tests/stand_ins/command_line.h"
#include "tests/stand_ins/event_loop.h"
#include "tests/stand_ins/fault_middleware.h"
#include "tests/stand_ins/guarded_main.h"
#include "tests/stand_ins/http_exchange.h"
#include "tests/stand_ins/json_fields.h"
#include "tests/stand_ins/server_options.h"

#include <map>
#include <random>

namespace sardinelb::stand_ins {

namespace {

struct service_options {
    server_options server;
    double latencyMs = 0;
    double latencyJitterMs = 0;
};

std::string echo(const http_request& request)
{
    return toText({
        { "request_id", request.requestId },
        { "method", request.method },
        { "path", request.path },
        { "body", request.body },
    });
}

// Fake plain service, served over HTTP, that counts its calls.
class service_program {
public:
    service_program(event_loop& loop, const service_options& options)
        : m_loop(loop)
        , m_faults(loop, options.server.seed, { "pause_before_answer_ms", "close_after_call" })
        , m_random(options.server.seed)
        , m_latencyMs(options.latencyMs, options.latencyMs + options.latencyJitterMs)
    {
    }

    http_handler handler()
    {
        return m_faults.wrap([this](const std::shared_ptr<http_exchange>& exchange) { serve(exchange); });
    }

private:
    void serve(const std::shared_ptr<http_exchange>& exchange)
    {
        const auto& path = exchange->request().path;
        if (path == "/admin/counts")
            exchange->respond(200, toText(m_callsById));
        else if (path == "/admin/body_counts")
            exchange->respond(200, toText(m_callsByBody));
        else if (path.starts_with("/admin/"))
            exchange->respond(404, errorBody("unknown path or method"));
        else
            call(exchange);
    }

    // Executes the call. It is counted before its latency, so that a call without a response is counted too.
    void call(const std::shared_ptr<http_exchange>& exchange)
    {
        ++m_callsById[exchange->request().requestId];
        ++m_callsByBody[exchange->request().body];
        const std::chrono::duration<double, std::milli> callTime(m_latencyMs(m_random));
        const auto delay = std::chrono::duration_cast<duration>(callTime) + m_faults.settings().pauseBeforeAnswer;
        const bool dropResponse = m_faults.drawFault(m_faults.settings().closeAfterCall);
        const auto respond = [exchange, dropResponse] {
            if (dropResponse)
                exchange->closeConnection();
            else
                exchange->respond(200, echo(exchange->request()));
        };
        if (delay == duration::zero())
            respond();
        else
            m_loop.callAt(m_loop.now() + delay, respond);
    }

    event_loop& m_loop;
    fault_middleware m_faults;
    std::mt19937_64 m_random;
    std::uniform_real_distribution<double> m_latencyMs;
    std::map<std::string, std::uint64_t> m_callsById;
    std::map<std::string, std::uint64_t> m_callsByBody;
};

void runService(int argc, char** argv)
{
    service_options options;
    command_line line("stand_in_service");
    addServerOptions(line, options.server);
    line.add("latency-ms", "minimum duration of a call", options.latencyMs);
    line.add("latency-jitter-ms", "maximum random addition to the duration of a call", options.latencyJitterMs);
    line.parse(argc, argv);

    event_loop loop;
    service_program program(loop, options);
    serveHttp(loop, static_cast<std::uint16_t>(options.server.port), program.handler());
    loop.run();
}

}

}

int main(int argc, char** argv)
{
    return sardinelb::stand_ins::guardedMain([&] { sardinelb::stand_ins::runService(argc, argv); });
}
