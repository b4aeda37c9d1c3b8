#include "coordination/maps/map_rows.h"

#include "state/bounded_json.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <cstdint>
#include <cstdio>
#include <utility>

namespace sardinelb {

namespace {

using nlohmann::json;

// Decimal digits of the largest 64-bit number.
constexpr int maxUint64Digits = 20;

std::string groupPrefix(const group_id& group)
{
    return "group/" + group.value() + "/";
}

std::string proposalPrefix(const group_id& group)
{
    return groupPrefix(group) + "proposal/";
}

std::string decisionPrefix(const group_id& group)
{
    return groupPrefix(group) + "decision/";
}

std::string rankPrefix(const group_id& group)
{
    return groupPrefix(group) + "rank/";
}

std::string zeroPadded(std::uint64_t number)
{
    std::string digits = std::to_string(number);
    return std::string(maxUint64Digits - digits.size(), '0') + digits;
}

json toJson(const expert_map& map)
{
    json experts = json::array();
    for (const auto& replicas : map.experts) {
        json expert = json::array();
        for (const auto& replica : replicas)
            expert.push_back(json::array({ replica.rank.value(), replica.share }));
        experts.push_back(std::move(expert));
    }
    return experts;
}

expert_map mapFromJson(const json& row)
{
    expert_map map;
    map.version = map_version(row.at("version").get<std::uint64_t>());
    for (const json& expert : row.at("experts")) {
        auto& replicas = map.experts.emplace_back();
        for (const json& replica : expert)
            replicas.push_back({ rank_id(replica.at(0).get<std::uint32_t>()), replica.at(1).get<double>() });
    }
    return map;
}

map_proposal proposalFromJson(const json& row)
{
    return { std::make_shared<const expert_map>(mapFromJson(row)), step_number(row.at("first_step").get<std::uint64_t>()),
        daemon_id(row.at("coordinator").get<std::string>()),
        fencing_number(row.at("fencing_number").get<std::uint64_t>()) };
}

map_outcome outcomeFromJson(const json& row)
{
    const auto name = row.at("outcome").get<std::string>();
    for (const map_outcome outcome : { map_outcome::Commit, map_outcome::Abort })
        if (name == toString(outcome))
            return outcome;
    throw json::other_error::create(0, "unknown outcome " + name, &row);
}

map_decision decisionFromJson(const json& row)
{
    return { map_version(row.at("version").get<std::uint64_t>()), outcomeFromJson(row),
        step_number(row.at("first_step").get<std::uint64_t>()) };
}

incarnation incarnationFromJson(const json& row)
{
    return incarnation(row.at("incarnation").get<std::uint64_t>());
}

// Converts exceptions of the JSON library into errors that contain the key.
template <typename Read>
auto parseRow(const std::string& key, const std::string& value, Read read)
    -> coordination_result<decltype(read(json()))>
{
    try {
        return read(parseBoundedJson(value, maxDocumentValues));
    } catch (const json::exception& exception) {
        return coordination_error { coordination_errc::Invalid, key, exception.what() };
    }
}

}

std::string mapLeaseKey(const group_id& group)
{
    return groupPrefix(group) + "lease";
}

std::string mapProposalKey(const group_id& group, map_version version)
{
    return proposalPrefix(group) + zeroPadded(version.value());
}

std::string mapDecisionKey(const group_id& group, map_version version)
{
    return decisionPrefix(group) + zeroPadded(version.value());
}

std::string mapRankKey(const group_id& group, rank_id rank)
{
    return rankPrefix(group) + zeroPadded(rank.value());
}

std::string mapHistoryBegin(const group_id& group)
{
    return decisionPrefix(group);
}

std::string mapHistoryEnd(const group_id& group)
{
    // '0' is the character after '/', so this key sorts directly after all proposals.
    return groupPrefix(group) + "proposal0";
}

bool isMapProposalKey(const group_id& group, const std::string& key)
{
    return key.starts_with(proposalPrefix(group));
}

bool isMapDecisionKey(const group_id& group, const std::string& key)
{
    return key.starts_with(decisionPrefix(group));
}

std::optional<rank_id> parseMapRankKey(const group_id& group, const std::string& key)
{
    const std::string prefix = rankPrefix(group);
    if (!key.starts_with(prefix))
        return std::nullopt;
    std::uint32_t number = 0;
    const char* const end = key.data() + key.size();
    const auto parsed = std::from_chars(key.data() + prefix.size(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return rank_id(number);
}

std::string toRowValue(const map_proposal& proposal)
{
    json row;
    row["version"] = proposal.map->version.value();
    row["first_step"] = proposal.firstStep.value();
    row["coordinator"] = proposal.coordinator.value();
    row["fencing_number"] = proposal.fencing.value();
    row["experts"] = toJson(*proposal.map);
    return row.dump();
}

std::string toRowValue(const map_decision& decision)
{
    json row;
    row["version"] = decision.version.value();
    row["outcome"] = toString(decision.outcome);
    row["first_step"] = decision.firstStep.value();
    return row.dump();
}

std::string toRowValue(incarnation registered)
{
    json row;
    row["incarnation"] = registered.value();
    return row.dump();
}

coordination_result<map_proposal> parseMapProposal(const std::string& key, const std::string& value)
{
    return parseRow(key, value, proposalFromJson);
}

coordination_result<map_decision> parseMapDecision(const std::string& key, const std::string& value)
{
    return parseRow(key, value, decisionFromJson);
}

coordination_result<incarnation> parseMapRank(const std::string& key, const std::string& value)
{
    return parseRow(key, value, incarnationFromJson);
}

}
