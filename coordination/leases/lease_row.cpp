#include "coordination/leases/lease_row.h"

#include "state/bounded_json.h"

#include <nlohmann/json.hpp>

namespace sardinelb {

std::string toText(const lease_row& row)
{
    nlohmann::json document;
    document["holder"] = row.holder.value();
    document["lifetime"] = row.lifetime.value();
    document["number"] = row.number.value();
    document["write"] = row.write;
    document["validity_us"] = row.validity.count();
    return document.dump();
}

std::optional<lease_row> parseLeaseRow(const std::string& text)
{
    try {
        const nlohmann::json document = parseBoundedJson(text);
        lease_row row;
        row.holder = daemon_id(document.at("holder").get<std::string>());
        row.lifetime = incarnation(document.at("lifetime").get<std::uint64_t>());
        row.number = fencing_number(document.at("number").get<std::uint64_t>());
        row.write = document.at("write").get<std::uint64_t>();
        row.validity = duration(document.at("validity_us").get<duration::rep>());
        return row;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

}
