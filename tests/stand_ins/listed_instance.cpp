#include "tests/stand_ins/listed_instance.h"

#include "tests/stand_ins/json_fields.h"

#include <stdexcept>

namespace sardinelb::stand_ins {

namespace {

bool isLeaving(const std::string& state)
{
    if (state != "live" && state != "leaving")
        throw std::invalid_argument("field 'state' must be live or leaving");
    return state == "leaving";
}

}

std::vector<listed_instance> parseInstances(const nlohmann::json& body)
{
    const auto field = body.find("instances");
    if (field == body.end() || !field->is_array())
        throw std::invalid_argument("field 'instances' must be an array");
    std::vector<listed_instance> instances;
    for (const auto& entry : *field) {
        instances.push_back({
            stringField(entry, "id"),
            stringField(entry, "zone"),
            stringField(entry, "address"),
            isLeaving(stringField(entry, "state")),
        });
    }
    return instances;
}

nlohmann::json toJson(const std::vector<listed_instance>& instances)
{
    auto entries = nlohmann::json::array();
    for (const auto& instance : instances) {
        entries.push_back({
            { "id", instance.id },
            { "zone", instance.zone },
            { "address", instance.address },
            { "state", instance.leaving ? "leaving" : "live" },
        });
    }
    return { { "instances", entries } };
}

}
