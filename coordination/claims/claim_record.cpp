#include "coordination/claims/claim_record.h"

#include "state/bounded_json.h"

#include <nlohmann/json.hpp>

#include <array>

namespace sardinelb {

namespace {

using nlohmann::json;

constexpr std::array<const char*, 4> outcomeNames { "not_run", "completed", "failed", "unknown" };

std::optional<execution_outcome> outcomeFrom(const std::string& name)
{
    for (std::size_t i = 0; i < outcomeNames.size(); ++i) {
        if (name == outcomeNames.at(i))
            return static_cast<execution_outcome>(i);
    }
    return std::nullopt;
}

}

std::string toText(const claim_record& record)
{
    json fields { { "token", record.token }, { "request", record.requestDigest } };
    if (record.outcome) {
        fields["outcome"] = outcomeNames.at(static_cast<std::size_t>(*record.outcome));
        fields["status"] = record.httpStatus;
    }
    return fields.dump();
}

std::optional<claim_record> claimFromText(std::string_view text)
{
    const json fields = parseBoundedJson(text);
    if (!fields.is_object() || !fields.value("token", json()).is_string()
        || !fields.value("request", json()).is_string())
        return std::nullopt;
    claim_record record;
    record.token = fields["token"].get<std::string>();
    record.requestDigest = fields["request"].get<std::string>();
    if (!fields.contains("outcome"))
        return record;
    if (!fields["outcome"].is_string() || !fields.value("status", json()).is_number_integer())
        return std::nullopt;
    record.outcome = outcomeFrom(fields["outcome"].get<std::string>());
    record.httpStatus = fields["status"].get<int>();
    if (!record.outcome)
        return std::nullopt;
    return record;
}

}
