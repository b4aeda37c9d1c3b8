#include "tests/stand_ins/command_line.h"
#include "tests/stand_ins/event_loop.h"
#include "tests/stand_ins/fault_middleware.h"
#include "tests/stand_ins/guarded_main.h"
#include "tests/stand_ins/http_exchange.h"
#include "tests/stand_ins/json_fields.h"
#include "tests/stand_ins/lagging_value.h"
#include "tests/stand_ins/listed_instance.h"
#include "tests/stand_ins/read_file.h"
#include "tests/stand_ins/server_options.h"

namespace sardinelb::stand_ins {

namespace {

struct instances_options {
    server_options server;
    double lagMs = 0;
    // File with the initial list, in the format of GET /v1/instances; empty for an empty list.
    std::string file;
};

std::vector<listed_instance> initialInstances(const instances_options& options)
{
    if (options.file.empty())
        return {};
    return parseInstances(parseObject(readFile(options.file)));
}

// Fake instance list of the platform, served over HTTP.
class instances_program {
public:
    instances_program(event_loop& loop, const instances_options& options)
        : m_loop(loop)
        , m_faults(loop, options.server.seed, {})
        , m_current(initialInstances(options))
        , m_visible(std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(options.lagMs)),
              m_current)
    {
    }

    http_handler handler()
    {
        return m_faults.wrap([this](const std::shared_ptr<http_exchange>& exchange) { serve(*exchange); });
    }

private:
    void serve(http_exchange& exchange)
    {
        const auto target = exchange.request().method + " " + exchange.request().path;
        if (target == "GET /v1/instances")
            exchange.respond(200, toText(toJson(m_visible.get(m_loop.now()))));
        else if (target == "GET /admin/instances")
            exchange.respond(200, toText(toJson(m_current)));
        else if (target == "POST /admin/instances")
            replace(exchange);
        else
            exchange.respond(404, errorBody("unknown path or method"));
    }

    void replace(http_exchange& exchange)
    {
        m_current = parseInstances(parseObject(exchange.request().body));
        m_visible.set(m_current, m_loop.now());
        exchange.respond(200, toText(toJson(m_current)));
    }

    event_loop& m_loop;
    fault_middleware m_faults;
    std::vector<listed_instance> m_current;
    lagging_value<std::vector<listed_instance>> m_visible;
};

void runInstances(int argc, char** argv)
{
    instances_options options;
    command_line line("stand_in_instances");
    addServerOptions(line, options.server);
    line.add("lag-ms", "time until a change of the list becomes visible", options.lagMs);
    line.add("file", "JSON file with the initial list; empty for an empty list", options.file);
    line.parse(argc, argv);

    event_loop loop;
    instances_program program(loop, options);
    serveHttp(loop, static_cast<std::uint16_t>(options.server.port), program.handler());
    loop.run();
}

}

}

int main(int argc, char** argv)
{
    return sardinelb::stand_ins::guardedMain([&] { sardinelb::stand_ins::runInstances(argc, argv); });
}
