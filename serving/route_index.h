#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sardinelb {

struct serving_configuration;
struct traffic_route;

// Finds the route of a request. Keeps the configuration alive.
class route_index {
public:
    explicit route_index(std::shared_ptr<const serving_configuration>);

    // Returns the route of the host with the longest prefix that begins the path, or null. `host` may carry a port.
    const traffic_route* find(std::string_view host, std::string_view path) const;

    const serving_configuration& configuration() const { return *m_configuration; }

private:
    std::shared_ptr<const serving_configuration> m_configuration;
    // By host; longest prefix first.
    std::unordered_map<std::string, std::vector<const traffic_route*>> m_byHost;
};

}
