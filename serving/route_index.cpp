#include "serving/route_index.h"

#include "serving/serving_configuration.h"

#include <algorithm>

namespace sardinelb {

namespace {

std::string hostKey(std::string_view host)
{
    std::string key(host.substr(0, host.find(':')));
    std::transform(key.begin(), key.end(), key.begin(), [](unsigned char c) { return std::tolower(c); });
    return key;
}

}

route_index::route_index(std::shared_ptr<const serving_configuration> configuration)
    : m_configuration(std::move(configuration))
{
    for (const traffic_route& route : m_configuration->routes)
        m_byHost[hostKey(route.host)].push_back(&route);
    for (auto& [host, routes] : m_byHost)
        std::stable_sort(routes.begin(), routes.end(), [](const traffic_route* a, const traffic_route* b) {
            return a->pathPrefix.size() > b->pathPrefix.size();
        });
}

const traffic_route* route_index::find(std::string_view host, std::string_view path) const
{
    const auto found = m_byHost.find(hostKey(host));
    if (found == m_byHost.end())
        return nullptr;
    path = path.substr(0, path.find('?'));
    for (const traffic_route* route : found->second) {
        if (path.starts_with(route->pathPrefix))
            return route;
    }
    return nullptr;
}

}
