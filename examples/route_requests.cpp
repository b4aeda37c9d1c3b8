// Routes six requests to three runners, one of which reports a long backlog.

#include "coordination/routing/router.h"

#include <iostream>

int main()
{
    using namespace sardinelb;
    router_settings settings;
    settings.self = daemon_id("entry-0");
    settings.zone = availability_zone_id("naju-yard");
    router routes(settings, 1);
    std::vector<runner_view> runners;
    for (const char* name : { "assist-llm-0", "assist-llm-1", "assist-llm-2" })
        runners.push_back({ runner_id(name), pool_id("assist-llm"), settings.zone, true, incarnation(1) });
    routes.setRunners(runners);

    time_point now { std::chrono::seconds(1) };
    load_report busy;
    busy.runner = runner_id("assist-llm-0");
    busy.backlog = token_count(50'000);
    routes.onLoadReport(busy, now);

    for (int i = 0; i < 6; ++i) {
        route_request request;
        request.request = request_id("r" + std::to_string(i));
        request.pool = pool_id("assist-llm");
        request.cost = { token_count(200), token_count(300) };
        const auto decision = routes.choose(request, now);
        if (!decision) {
            std::cout << decision.error().detail << "\n";
            return 1;
        }
        routes.onAttemptStarted({ request.request, 1 }, decision.value().runner, request.cost, now);
        std::cout << request.request.value() << " -> " << decision.value().runner.value() << " ("
                  << toString(decision.value().reason) << ")\n";
    }
    return 0;
}
