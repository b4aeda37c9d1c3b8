#include "state/entity_json.h"

#include "state/hex_text.h"
#include "state/object_reader.h"
#include "state/socket_address.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sardinelb {

namespace {

using nlohmann::json;

const std::vector<std::string> serviceClassNames { "interactive", "standard", "batch" };
const std::vector<std::string> poolKindNames { "model", "service" };
const std::vector<std::string> runnerTargetNames { "serving", "draining", "stopped" };

constexpr std::int64_t maxTokensPerSecond = 1'000'000'000;
constexpr double maxRequestsPerSecond = 1'000'000;
constexpr std::int64_t maxAnswerWithinMs = 24LL * 3600 * 1000;
constexpr std::int64_t maxWantedRunners = 100'000;
constexpr std::int64_t maxExpertCount = 65'536;
constexpr std::size_t maxNameLength = 200;

// Control characters and quotes would make log lines and messages ambiguous.
bool isName(const std::string& text)
{
    const auto isPlain = [](char c) { return static_cast<unsigned char>(c) > 0x20 && c != 0x7f && c != '"'; };
    return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), isPlain);
}

const char* const nameExpected = "expected a name of 1 to 200 characters without spaces, quotes or control characters";

template <typename Id>
Id readId(object_reader& reader, const std::string& field)
{
    return Id(reader.requiredText(field, isName, nameExpected));
}

contract readContract(const json& value, const std::string& location, document_faults& faults)
{
    object_reader reader(value, location, "contract.", faults);
    contract terms;
    terms.tokensPerSecond = token_count(reader.requiredInteger("tokens_per_second", 0, maxTokensPerSecond));
    terms.requestsPerSecond = reader.requiredNumber("requests_per_second", 0, maxRequestsPerSecond);
    terms.serviceClass = static_cast<service_class>(reader.choice("service_class", serviceClassNames, true));
    terms.answerWithin = std::chrono::milliseconds(reader.requiredInteger("answer_within_ms", 1, maxAnswerWithinMs));
    reader.finish();
    return terms;
}

std::map<std::string, std::string> readAliases(object_reader& reader)
{
    auto aliases = reader.optionalStringMap("aliases");
    for (const auto& [scheme, alias] : aliases) {
        const json found = alias;
        if (!isName(alias))
            reader.fault("aliases." + scheme, &found, nameExpected);
    }
    return aliases;
}

team readTeam(const std::string& id, object_reader& reader, const std::string& location, document_faults& faults)
{
    team result;
    result.id = team_id(id);
    result.aliases = readAliases(reader);
    result.keyDigests = reader.optionalStrings(
        "key_digests", isSha256Digest, sha256DigestExpected);
    if (const json* terms = reader.requiredObject("contract"))
        result.terms = readContract(*terms, location, faults);
    return result;
}

pool readPool(const std::string& id, object_reader& reader)
{
    pool result;
    result.id = pool_id(id);
    result.kind = static_cast<pool_kind>(reader.choice("kind", poolKindNames, true));
    result.wantedRunners = static_cast<int>(reader.requiredInteger("wanted_runners", 0, maxWantedRunners));
    return result;
}

model readModel(const std::string& id, object_reader& reader)
{
    model result;
    result.id = model_id(id);
    result.aliases = readAliases(reader);
    result.pool = readId<pool_id>(reader, "pool");
    return result;
}

instance readInstance(const std::string& id, object_reader& reader)
{
    instance result;
    result.id = instance_id(id);
    result.aliases = readAliases(reader);
    result.zone = readId<availability_zone_id>(reader, "zone");
    return result;
}

runner readRunner(const std::string& id, object_reader& reader)
{
    runner result;
    result.id = runner_id(id);
    result.pool = readId<pool_id>(reader, "pool");
    result.instance = readId<instance_id>(reader, "instance");
    result.zone = readId<availability_zone_id>(reader, "zone");
    result.agentAddress = reader.requiredText(
        "agent_address", isSocketAddress, socketAddressExpected);
    result.target = static_cast<runner_target>(reader.choice("target", runnerTargetNames, false));
    result.checksFencing = reader.optionalFlag("checks_fencing");
    return result;
}

bool isMethod(const std::string& text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
}

service_route readRoute(const std::string& id, object_reader& reader)
{
    service_route result;
    result.id = id;
    const std::size_t space = id.find(' ');
    result.method = id.substr(0, space);
    result.pathPrefix = space == std::string::npos ? "" : id.substr(space + 1);
    if (!isMethod(result.method) || !result.pathPrefix.starts_with('/') || !isName(result.pathPrefix)) {
        const json found = id;
        reader.fault("id", &found, "expected a method and a path prefix, as in \"POST /bookings\"");
    }
    result.pool = readId<pool_id>(reader, "pool");
    result.idempotent = reader.optionalFlag("idempotent");
    return result;
}

rank_group readGroup(const std::string& id, object_reader& reader)
{
    rank_group result;
    result.id = group_id(id);
    result.pool = readId<pool_id>(reader, "pool");
    for (std::string& name : reader.optionalStrings("ranks", isName, nameExpected))
        result.ranks.emplace_back(std::move(name));
    result.expertCount = static_cast<std::uint32_t>(reader.requiredInteger("expert_count", 1, maxExpertCount));
    return result;
}

entity readEntity(
    entity_kind kind, const std::string& id, object_reader& reader, const std::string& location,
    document_faults& faults)
{
    switch (kind) {
    case entity_kind::NamingScheme:
        break;
    case entity_kind::Pool:
        return readPool(id, reader);
    case entity_kind::Model:
        return readModel(id, reader);
    case entity_kind::Instance:
        return readInstance(id, reader);
    case entity_kind::Team:
        return readTeam(id, reader, location, faults);
    case entity_kind::Runner:
        return readRunner(id, reader);
    case entity_kind::ServiceRoute:
        return readRoute(id, reader);
    case entity_kind::RankGroup:
        return readGroup(id, reader);
    }
    return naming_scheme { id };
}

void checkId(entity_kind kind, const std::string& id, object_reader& reader)
{
    if (kind == entity_kind::ServiceRoute || isName(id))
        return;
    const json found = id;
    reader.fault("id", &found, nameExpected);
}

void writeAliases(json& target, const std::map<std::string, std::string>& aliases)
{
    if (!aliases.empty())
        target["aliases"] = aliases;
}

json contractToJson(const contract& terms)
{
    return json {
        { "tokens_per_second", terms.tokensPerSecond.value() },
        { "requests_per_second", terms.requestsPerSecond },
        { "service_class", serviceClassNames.at(static_cast<std::size_t>(terms.serviceClass)) },
        { "answer_within_ms", std::chrono::duration_cast<std::chrono::milliseconds>(terms.answerWithin).count() },
    };
}

// Writes the fields of one entity.
struct entity_fields {
    json operator()(const naming_scheme&) const { return json::object(); }

    json operator()(const pool& value) const
    {
        return json { { "kind", poolKindNames.at(static_cast<std::size_t>(value.kind)) },
            { "wanted_runners", value.wantedRunners } };
    }

    json operator()(const model& value) const
    {
        json fields { { "pool", value.pool.value() } };
        writeAliases(fields, value.aliases);
        return fields;
    }

    json operator()(const instance& value) const
    {
        json fields { { "zone", value.zone.value() } };
        writeAliases(fields, value.aliases);
        return fields;
    }

    json operator()(const team& value) const
    {
        json fields { { "contract", contractToJson(value.terms) } };
        writeAliases(fields, value.aliases);
        if (!value.keyDigests.empty())
            fields["key_digests"] = value.keyDigests;
        return fields;
    }

    json operator()(const runner& value) const
    {
        json fields { { "pool", value.pool.value() }, { "instance", value.instance.value() },
            { "zone", value.zone.value() }, { "agent_address", value.agentAddress } };
        if (value.target != runner_target::Serving)
            fields["target"] = runnerTargetNames.at(static_cast<std::size_t>(value.target));
        if (value.checksFencing)
            fields["checks_fencing"] = true;
        return fields;
    }

    json operator()(const service_route& value) const
    {
        json fields { { "pool", value.pool.value() } };
        if (value.idempotent)
            fields["idempotent"] = true;
        return fields;
    }

    json operator()(const rank_group& value) const
    {
        json fields { { "pool", value.pool.value() }, { "expert_count", value.expertCount } };
        for (const runner_id& rank : value.ranks)
            fields["ranks"].push_back(rank.value());
        return fields;
    }
};

}

json entityToJson(const entity& value) { return std::visit(entity_fields {}, value); }

entity entityFromJson(
    entity_kind kind, const std::string& id, const json& fields, const std::string& location, document_faults& faults)
{
    object_reader reader(fields, location, "", faults);
    checkId(kind, id, reader);
    entity result = readEntity(kind, id, reader, location, faults);
    reader.finish();
    return result;
}

}
