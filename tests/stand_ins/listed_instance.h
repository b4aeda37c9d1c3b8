#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace sardinelb::stand_ins {

// An entry of the instance list.
struct listed_instance {
    std::string id;
    std::string zone;
    std::string address;
    // Whether the platform is about to stop the instance.
    bool leaving = false;
};

// Reads {"instances":[{"id","zone","address","state":"live|leaving"}]}. Throws std::invalid_argument, naming the
// field, if a field is missing or invalid.
std::vector<listed_instance> parseInstances(const nlohmann::json&);

nlohmann::json toJson(const std::vector<listed_instance>&);

}
