#include "coordination/leases/order_row.h"

#include "state/bounded_json.h"

#include <array>
#include <nlohmann/json.hpp>

namespace sardinelb {

namespace {

// Width of the largest sequence number. Zero-padding makes the keys sort by number.
constexpr std::size_t sequenceDigits = 20;

constexpr std::array allKinds = { order_kind::LoadModel, order_kind::UnloadModel, order_kind::SetRole,
    order_kind::LoadAdapter, order_kind::UnloadAdapter, order_kind::LoadVersion, order_kind::UnloadVersion };

const char* toString(order_status status)
{
    switch (status) {
    case order_status::Pending:
        return "pending";
    case order_status::Done:
        return "done";
    case order_status::Refused:
        return "refused";
    }
    return "invalid";
}

std::optional<order_kind> parseKind(const std::string& name)
{
    for (const order_kind kind : allKinds) {
        if (name == sardinelb::toString(kind))
            return kind;
    }
    return std::nullopt;
}

std::optional<order_status> parseStatus(const std::string& name)
{
    for (const order_status status : { order_status::Pending, order_status::Done, order_status::Refused }) {
        if (name == toString(status))
            return status;
    }
    return std::nullopt;
}

}

std::string orderKeysOf(const runner_id& runner) { return std::string(orderKeysFrom) + runner.value() + "/"; }

std::string endOfOrderKeysOf(const runner_id& runner) { return std::string(orderKeysFrom) + runner.value() + "0"; }

std::string orderKey(const runner_id& runner, std::uint64_t sequence)
{
    const std::string digits = std::to_string(sequence);
    return orderKeysOf(runner) + std::string(sequenceDigits - digits.size(), '0') + digits;
}

std::string toText(const runner_order& order)
{
    nlohmann::json document;
    document["runner"] = order.runner.value();
    document["sequence"] = order.sequence;
    document["id"] = order.id;
    document["number"] = order.number.value();
    document["kind"] = toString(order.kind);
    document["subject"] = order.subject;
    document["status"] = toString(order.status);
    return document.dump();
}

std::optional<runner_order> parseOrder(const table_row& row)
{
    try {
        const nlohmann::json document = parseBoundedJson(row.value);
        const auto kind = parseKind(document.at("kind").get<std::string>());
        const auto status = parseStatus(document.at("status").get<std::string>());
        if (!kind || !status)
            return std::nullopt;
        runner_order order;
        order.runner = runner_id(document.at("runner").get<std::string>());
        order.sequence = document.at("sequence").get<std::uint64_t>();
        order.id = document.at("id").get<std::string>();
        order.number = fencing_number(document.at("number").get<std::uint64_t>());
        order.kind = *kind;
        order.subject = document.at("subject").get<std::string>();
        order.status = *status;
        return order;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

}
