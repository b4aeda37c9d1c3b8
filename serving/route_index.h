#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sardinelb {

struct serving_configuration;
struct traffic_route;

// Looks up the route of a request. Shares ownership of the configuration.
class route_index {
public:
    explicit route_index(std::shared_ptr<const serving_configuration>);

    // Returns the route of the host with the longest prefix of the path, or null. `host` may include a port.
    const traffic_route* find(std::string_view host, std::string_view path) const;

    const serving_configuration& configuration() const { return *m_configuration; }

private:
    std::shared_ptr<const serving_configuration> m_configuration;
    // Routes by lower-case host, longest prefix first.
    std::unordered_map<std::string, std::vector<const traffic_route*>> m_byHost;
};

}
