#include "fleet/fleet_message.h"

#include "expert_map/placement_delta_codec.h"
#include "protocol/generated/fleet_generated.h"

#include <cmath>
#include <span>

namespace sardinelb {

namespace {

namespace wire = fleet_wire;

// Stands for the end of a runner's limit.
constexpr double noLimit = -1;

std::uint32_t milliseconds(duration time)
{
    return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

struct encoder {
    flatbuffers::FlatBufferBuilder& builder;

    using member_offsets = std::vector<flatbuffers::Offset<wire::group_member>>;

    member_offsets createMembers(const std::vector<entry_heartbeat_message::member>& members) const
    {
        member_offsets offsets;
        for (const auto& member : members)
            offsets.push_back(wire::Creategroup_memberDirect(builder, member.rank.value(), member.address.c_str(), milliseconds(member.age)));
        return offsets;
    }

    std::vector<flatbuffers::Offset<wire::prompt_part>> createPromptParts(const std::vector<prompt_part_evidence>& parts) const
    {
        std::vector<flatbuffers::Offset<wire::prompt_part>> offsets;
        for (const prompt_part_evidence& part : parts) {
            std::vector<flatbuffers::Offset<wire::runner_crash>> crashes;
            for (const auto& crash : part.crashes)
                crashes.push_back(wire::Createrunner_crash(builder, crash.process.value(), milliseconds(crash.age)));
            offsets.push_back(wire::Createprompt_partDirect(builder, part.pool.value().c_str(), part.part.value(), part.position, &crashes, part.answerAge.has_value(),
                milliseconds(part.answerAge.value_or(duration {})), milliseconds(part.quarantineLeft), part.quarantineCount));
        }
        return offsets;
    }

    static std::vector<wire::runner_limit> createRunnerLimits(const std::vector<runner_limit_update>& limits)
    {
        std::vector<wire::runner_limit> all;
        all.reserve(limits.size());
        for (const runner_limit_update& update : limits)
            all.emplace_back(update.runner.value(), update.requestsPerSecond.value_or(noLimit), milliseconds(update.age));
        return all;
    }

    std::vector<flatbuffers::Offset<wire::evacuated_zone>> createEvacuatedZones(const zone_evacuation_view& view) const
    {
        std::vector<flatbuffers::Offset<wire::evacuated_zone>> offsets;
        for (const auto& entry : view.zones) {
            offsets.push_back(wire::Createevacuated_zoneDirect(builder, entry.zone.value().c_str(), entry.writtenAt.epoch.value(), entry.writtenAt.revision.value(),
                entry.timeLeft.has_value(), milliseconds(entry.timeLeft.value_or(duration {}))));
        }
        return offsets;
    }

    std::vector<flatbuffers::Offset<wire::removed_evacuation>> createRemovedEvacuations(const zone_evacuation_view& view) const
    {
        std::vector<flatbuffers::Offset<wire::removed_evacuation>> offsets;
        for (const auto& entry : view.removals) {
            offsets.push_back(wire::Createremoved_evacuationDirect(builder, entry.zone.value().c_str(), entry.removedAt.epoch.value(),
                entry.removedAt.revision.value(), entry.row.value()));
        }
        return offsets;
    }

    void operator()(const entry_heartbeat_message& message) const
    {
        const member_offsets members = createMembers(message.members);
        std::vector<flatbuffers::Offset<wire::group_candidates>> groups;
        for (const auto& group : message.groups) {
            const member_offsets candidates = createMembers(group.members);
            groups.push_back(wire::Creategroup_candidatesDirect(builder, group.group.value().c_str(), &candidates));
        }
        const auto promptParts = createPromptParts(message.promptParts);
        const auto runnerLimits = createRunnerLimits(message.runnerLimits);
        std::vector<std::uint64_t> leavingRunners;
        for (const runner_process_id process : message.leavingRunners)
            leavingRunners.push_back(process.value());
        std::vector<wire::cold_runner> coldRunners;
        for (const cold_runner& cold : message.coldRunners)
            coldRunners.emplace_back(cold.process.value(), milliseconds(cold.timeLeft));
        const auto evacuatedZones = createEvacuatedZones(message.evacuations);
        const auto removedEvacuations = createRemovedEvacuations(message.evacuations);
        const auto body = wire::Createentry_beatDirect(builder, message.daemon.value().c_str(), message.configuration.value(),
            message.runnerList.revision.value(), message.runnerDigest,
            milliseconds(message.runnerListAge), message.isStopping, message.group.value().c_str(), &members,
            message.expertsPerRank, message.newExpertsPerRank, static_cast<std::uint64_t>(message.expertCopyTime.count()), message.slots, &groups,
            message.arrivalsPerSecond, &promptParts, &runnerLimits, message.runnerList.epoch.value(), &leavingRunners, &evacuatedZones,
            message.evacuations.asOf.epoch.value(), message.evacuations.asOf.revision.value(), &coldRunners, &removedEvacuations);
        finish(wire::datagram_body::entry_beat, body.Union());
    }

    void operator()(const load_message& message) const
    {
        const rank_load& load = message.load;
        std::vector<flatbuffers::Offset<flatbuffers::String>> entries;
        for (const std::string& entry : message.entryAddresses)
            entries.push_back(builder.CreateString(entry));
        const auto body = wire::Createload_reportDirect(builder, load.group.value().c_str(), load.rank.value(), load.running,
            load.waiting, load.pace, load.isGroupOpen, load.startedAtMs, &entries);
        finish(wire::datagram_body::load_report, body.Union());
    }

    void operator()(const rank_message& message) const
    {
        const rank_status& status = message.status;
        std::vector<std::uint16_t> counts;
        std::vector<std::uint16_t> experts;
        for (const auto& set : status.expertsBySet) {
            counts.push_back(static_cast<std::uint16_t>(set.size()));
            experts.insert(experts.end(), set.begin(), set.end());
        }
        const auto body = wire::Createrank_reportDirect(builder, message.group.value().c_str(), status.rank.value(), message.groupSize,
            status.epoch, status.step.value(), status.map.value(), status.prepared.value_or(map_version {}).value(), status.prepared.has_value(),
            status.armed.value_or(map_version {}).value(), status.armed.has_value(), status.held.value_or(step_number {}).value(),
            status.held.has_value(), status.isOpen, status.pace, message.running, &counts, &experts, message.address.c_str(), message.zone.value().c_str(),
            status.armedStep.value_or(step_number {}).value(), status.isWitness);
        finish(wire::datagram_body::rank_report, body.Union());
    }

    void operator()(const demand_report_message& message) const
    {
        const auto body = wire::Createdemand_reportDirect(builder, message.group.value().c_str(), message.epoch, message.choices.scale, &message.choices.values);
        finish(wire::datagram_body::demand_report, body.Union());
    }

    void operator()(const demand_route_message& message) const
    {
        const auto body = wire::Createdemand_routeDirect(builder, message.group.value().c_str(), message.epoch, message.collector.c_str(), milliseconds(message.interval));
        finish(wire::datagram_body::demand_route, body.Union());
    }

    void operator()(const delegated_order_message& message) const
    {
        const map_order& order = message.order;
        const std::vector<std::uint8_t> changes = encodeDelta(message.delta, message.ranks);
        const auto body = wire::Createdelegated_orderDirect(builder, message.id, message.group.value().c_str(), order.rank.value(), order.epoch,
            static_cast<std::uint8_t>(order.action), order.version.value(), order.step.value(), message.base.has_value(), message.base.value_or(map_version {}).value(),
            message.sets, message.experts, message.ranks, &changes, order.isWitnessed);
        finish(wire::datagram_body::delegated_order, body.Union());
    }

    void operator()(const delegated_result_message& message) const
    {
        const auto body = wire::Createdelegated_result(builder, message.id, static_cast<std::uint8_t>(message.result));
        finish(wire::datagram_body::delegated_result, body.Union());
    }

    void finish(wire::datagram_body type, flatbuffers::Offset<void> body) const
    {
        builder.Finish(wire::Createdatagram(builder, type, body));
    }
};

std::string text(const flatbuffers::String* value)
{
    return value ? value->str() : std::string();
}

template <typename Members>
std::vector<entry_heartbeat_message::member> readMembers(const Members* members)
{
    std::vector<entry_heartbeat_message::member> result;
    if (!members)
        return result;
    for (const auto* member : *members)
        result.push_back({ rank_id(member->rank()), text(member->address()), std::chrono::milliseconds(member->age_ms()) });
    return result;
}

prompt_part_evidence read(const wire::prompt_part& body)
{
    prompt_part_evidence evidence;
    evidence.pool = pool_id(text(body.pool()));
    evidence.part = prompt_part_id(body.part());
    evidence.position = body.position();
    if (body.crashes()) {
        for (const auto* crash : *body.crashes())
            evidence.crashes.push_back({ runner_process_id(crash->process()), std::chrono::milliseconds(crash->age_ms()) });
    }
    if (body.answered())
        evidence.answerAge = std::chrono::milliseconds(body.answer_age_ms());
    evidence.quarantineLeft = std::chrono::milliseconds(body.quarantine_ms());
    evidence.quarantineCount = body.quarantines();
    return evidence;
}

runner_limit_update read(const wire::runner_limit& body)
{
    runner_limit_update update;
    update.runner = runner_process_id(body.process());
    const double limit = body.requests_per_second();
    if (std::isfinite(limit) && limit >= 0)
        update.requestsPerSecond = limit;
    update.age = std::chrono::milliseconds(body.age_ms());
    return update;
}

zone_evacuation_view::zone_entry read(const wire::evacuated_zone& body)
{
    zone_evacuation_view::zone_entry entry;
    entry.zone = availability_zone_id(text(body.zone()));
    entry.writtenAt = { store_epoch(body.epoch()), row_revision(body.revision()) };
    if (body.retained())
        entry.timeLeft = std::chrono::milliseconds(body.left_ms());
    return entry;
}

zone_evacuation_view::removal read(const wire::removed_evacuation& body)
{
    return { availability_zone_id(text(body.zone())), { store_epoch(body.epoch()), row_revision(body.revision()) }, row_revision(body.row()) };
}

fleet_message read(const wire::entry_beat& body)
{
    entry_heartbeat_message message;
    message.daemon = daemon_id(text(body.daemon()));
    message.configuration = config_version(body.configuration());
    message.runnerList = { store_epoch(body.runner_list_epoch()), row_revision(body.runner_list()) };
    message.runnerDigest = body.runner_digest();
    message.runnerListAge = std::chrono::milliseconds(body.list_age_ms());
    message.isStopping = body.stopping();
    message.group = group_id(text(body.group()));
    message.members = readMembers(body.members());
    if (body.groups()) {
        for (const auto* group : *body.groups())
            message.groups.push_back({ group_id(text(group->group())), readMembers(group->members()) });
    }
    message.expertsPerRank = body.places_per_rank();
    message.newExpertsPerRank = body.new_per_rank();
    message.expertCopyTime = duration(body.expert_copy_us());
    message.slots = body.slots();
    message.arrivalsPerSecond = body.arrivals_per_second();
    if (body.runner_limits()) {
        for (const auto* limit : *body.runner_limits())
            message.runnerLimits.push_back(read(*limit));
    }
    if (body.leaving_runners()) {
        for (const std::uint64_t process : *body.leaving_runners())
            message.leavingRunners.emplace_back(process);
    }
    message.evacuations.asOf = { store_epoch(body.evacuations_epoch()), row_revision(body.evacuations_revision()) };
    if (body.evacuated_zones()) {
        for (const auto* zone : *body.evacuated_zones())
            message.evacuations.zones.push_back(read(*zone));
    }
    if (body.cold_runners()) {
        for (const auto* cold : *body.cold_runners())
            message.coldRunners.push_back({ runner_process_id(cold->process()), std::chrono::milliseconds(cold->left_ms()) });
    }
    if (body.removed_evacuations()) {
        for (const auto* removal : *body.removed_evacuations())
            message.evacuations.removals.push_back(read(*removal));
    }
    if (body.prompt_parts()) {
        for (const auto* part : *body.prompt_parts())
            message.promptParts.push_back(read(*part));
    }
    return message;
}

fleet_message read(const wire::load_report& body)
{
    load_message message;
    message.load.group = group_id(text(body.group()));
    message.load.rank = rank_id(body.rank());
    message.load.running = body.running();
    message.load.waiting = body.waiting();
    message.load.pace = body.pace();
    message.load.isGroupOpen = body.open();
    message.load.startedAtMs = body.started_ms();
    if (body.entries()) {
        for (const auto* entry : *body.entries())
            message.entryAddresses.push_back(text(entry));
    }
    return message;
}

void readExperts(const wire::rank_report& body, rank_status& status)
{
    if (!body.expert_counts() || !body.experts())
        return;
    std::size_t next = 0;
    for (const std::uint16_t count : *body.expert_counts()) {
        if (next + count > body.experts()->size())
            return;
        const auto first = body.experts()->begin() + static_cast<std::ptrdiff_t>(next);
        status.expertsBySet.emplace_back(first, first + count);
        next += count;
    }
}

fleet_message read(const wire::rank_report& body)
{
    rank_message message;
    message.group = group_id(text(body.group()));
    message.groupSize = body.size();
    message.running = body.running();
    rank_status& status = message.status;
    status.rank = rank_id(body.rank());
    status.epoch = body.epoch();
    status.step = step_number(body.step());
    status.map = map_version(body.map());
    if (body.has_prepared())
        status.prepared = map_version(body.prepared());
    if (body.has_armed())
        status.armed = map_version(body.armed());
    if (body.armed_step() != 0)
        status.armedStep = step_number(body.armed_step());
    if (body.has_held())
        status.held = step_number(body.held());
    status.isOpen = body.open();
    status.isWitness = body.witness();
    status.pace = body.pace();
    readExperts(body, status);
    message.address = text(body.address());
    message.zone = availability_zone_id(text(body.zone()));
    return message;
}

fleet_message read(const wire::demand_report& body)
{
    demand_report_message message { group_id(text(body.group())), body.epoch(), {} };
    message.choices.scale = body.scale();
    if (body.choices())
        message.choices.values.assign(body.choices()->begin(), body.choices()->end());
    return message;
}

fleet_message read(const wire::demand_route& body)
{
    return demand_route_message { group_id(text(body.group())), body.epoch(), text(body.collector()), std::chrono::milliseconds(body.interval_ms()) };
}

std::optional<fleet_message> read(const wire::delegated_order& body)
{
    if (body.action() > static_cast<std::uint8_t>(map_order::kind::Seal))
        return std::nullopt;
    delegated_order_message message;
    message.id = body.id();
    message.group = group_id(text(body.group()));
    message.order = { static_cast<map_order::kind>(body.action()), rank_id(body.rank()), body.epoch(), map_version(body.version()), step_number(body.step()), {} };
    message.order.isWitnessed = body.witnessed();
    if (body.has_base())
        message.base = map_version(body.base());
    message.sets = body.sets();
    message.experts = body.experts();
    message.ranks = body.ranks();
    message.delta = decodeDelta(body.changes() ? std::span(body.changes()->data(), body.changes()->size()) : std::span<const std::uint8_t>(), body.ranks());
    return message;
}

std::optional<fleet_message> read(const wire::delegated_result& body)
{
    if (body.result() > static_cast<std::uint8_t>(delegated_result_message::outcome::BaseUnknown))
        return std::nullopt;
    return delegated_result_message { body.id(), static_cast<delegated_result_message::outcome>(body.result()) };
}

}

std::string encode(const fleet_message& message)
{
    flatbuffers::FlatBufferBuilder builder(512);
    std::visit(encoder { builder }, message);
    return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

std::optional<fleet_message> decode(std::string_view bytes)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    if (!wire::VerifydatagramBuffer(verifier))
        return std::nullopt;
    const auto* datagram = wire::Getdatagram(bytes.data());
    // The verifier accepts a datagram that names a body type but has no body.
    if (!datagram->body())
        return std::nullopt;
    switch (datagram->body_type()) {
    case wire::datagram_body::entry_beat:
        return read(*datagram->body_as_entry_beat());
    case wire::datagram_body::load_report:
        return read(*datagram->body_as_load_report());
    case wire::datagram_body::rank_report:
        return read(*datagram->body_as_rank_report());
    case wire::datagram_body::demand_report:
        return read(*datagram->body_as_demand_report());
    case wire::datagram_body::demand_route:
        return read(*datagram->body_as_demand_route());
    case wire::datagram_body::delegated_order:
        return read(*datagram->body_as_delegated_order());
    case wire::datagram_body::delegated_result:
        return read(*datagram->body_as_delegated_result());
    case wire::datagram_body::NONE:
        break;
    }
    return std::nullopt;
}

}
