#include "protocol/frame_codec.h"

#include "protocol/generated/frame_generated.h"
#include "state/change_json.h"
#include "state/configuration_change.h"

#include <chrono>
#include <utility>

namespace sardinelb {

namespace {

using builder = flatbuffers::FlatBufferBuilder;
using encoded_message = std::pair<wire::any_message, flatbuffers::Offset<void>>;

// Most frames are smaller; the builder grows for larger ones.
constexpr std::size_t initialFrameBytes = 512;

template <typename Enum>
std::uint8_t encodeEnum(Enum value)
{
    return static_cast<std::uint8_t>(value);
}

std::string text(const flatbuffers::String* value)
{
    return value ? value->str() : std::string();
}

flatbuffers::Offset<wire::attempt_key> encode(builder& out, const attempt_id& attempt)
{
    return wire::Createattempt_key(out, out.CreateString(attempt.request.value()), attempt.number);
}

flatbuffers::Offset<wire::load_state> encode(builder& out, const load_report& load)
{
    return wire::Createload_state(out, out.CreateString(load.runner.value()), load.accepting, load.queued, load.running,
        load.slots, load.backlog.value(), load.tokenInterval.count(), load.cacheUse);
}

encoded_message encode(builder&, std::monostate)
{
    return { wire::any_message::NONE, 0 };
}

encoded_message encode(builder& out, const submit_message& m)
{
    const auto attempt = encode(out, m.attempt);
    const auto team = out.CreateString(m.team.value());
    const auto method = out.CreateString(m.method);
    const auto target = out.CreateString(m.target);
    const auto body = out.CreateString(m.body);
    const auto table = wire::Createsubmit(out, attempt, m.expectedIncarnation.value(), team,
        encodeEnum(m.serviceClass), m.weight, m.idempotent, m.dispatchWithin.count(), m.answerWithin.count(),
        m.cost.promptTokens.value(), m.cost.completionTokens.value(), m.prefixDigest, encodeEnum(m.kind), method,
        target, body, m.maxTokens, m.resumeFrom);
    return { wire::any_message::submit, table.Union() };
}

encoded_message encode(builder& out, const admission_message& m)
{
    const auto attempt = encode(out, m.attempt);
    const auto load = encode(out, m.load);
    return { wire::any_message::admission, wire::Createadmission(out, attempt, encodeEnum(m.refusal), load).Union() };
}

encoded_message encode(builder& out, const chunk_message& m)
{
    const auto attempt = encode(out, m.attempt);
    const auto bytes = out.CreateString(m.bytes);
    const auto table = wire::Createchunk(out, attempt, m.sequence, m.firstToken, m.tokens, bytes);
    return { wire::any_message::chunk, table.Union() };
}

encoded_message encode(builder& out, const finish_message& m)
{
    const auto attempt = encode(out, m.attempt);
    const auto contentType = out.CreateString(m.contentType);
    const auto load = encode(out, m.load);
    const auto detail = out.CreateString(m.detail);
    const auto table = wire::Createfinish(out, attempt, encodeEnum(m.outcome), m.chunkCount, m.httpStatus,
        contentType, m.usage.promptTokens.value(), m.usage.completionTokens.value(), load, detail);
    return { wire::any_message::finish, table.Union() };
}

encoded_message encode(builder& out, const cancel_message& m)
{
    return { wire::any_message::cancel, wire::Createcancel(out, encode(out, m.attempt)).Union() };
}

encoded_message encode(builder& out, const cancelled_message& m)
{
    const auto attempt = encode(out, m.attempt);
    return { wire::any_message::cancelled, wire::Createcancelled(out, attempt, m.neverDispatched).Union() };
}

encoded_message encode(builder& out, const query_message& m)
{
    const auto attempt = encode(out, m.attempt);
    return { wire::any_message::query, wire::Createquery(out, attempt, m.nextSequence).Union() };
}

encoded_message encode(builder& out, const credit_message& m)
{
    const auto attempt = encode(out, m.attempt);
    return { wire::any_message::credit, wire::Createcredit(out, attempt, m.bytes.value()).Union() };
}

encoded_message encode(builder& out, const load_update_message& m)
{
    return { wire::any_message::load_update, wire::Createload_update(out, encode(out, m.load)).Union() };
}

encoded_message encode(builder& out, const changes_request_message& m)
{
    const auto table = wire::Createchanges_request(
        out, m.after.value(), m.nonce, m.snapshotAllowed, m.snapshotFirst, m.snapshotVersion.value());
    return { wire::any_message::changes_request, table.Union() };
}

encoded_message encode(builder& out, const changes_message& m)
{
    std::vector<flatbuffers::Offset<flatbuffers::String>> entries;
    entries.reserve(m.changes.size());
    for (const configuration_change& change : m.changes)
        entries.push_back(out.CreateString(changeToText(change)));
    const auto vector = out.CreateVector(entries);
    flatbuffers::Offset<wire::snapshot> part;
    if (m.snapshot) {
        const auto body = out.CreateString(m.snapshot->text);
        part = wire::Createsnapshot(out, m.snapshot->version.value(), m.snapshot->first, m.snapshot->next,
            m.snapshot->total, body);
    }
    const auto table = wire::Createchanges(out, m.nonce, m.version.value(), vector, part);
    return { wire::any_message::changes, table.Union() };
}

encoded_message encode(builder& out, const lease_requests_message& m)
{
    std::vector<flatbuffers::Offset<wire::lease_request>> requests;
    requests.reserve(m.requests.size());
    for (const auto& r : m.requests) {
        const auto team = out.CreateString(r.team.value());
        const auto entry = out.CreateString(r.entry.value());
        requests.push_back(wire::Createlease_request(out, team, entry, r.sequence, r.wanted.value(),
            r.used.value(), r.held.value(), r.requestsWanted, r.requestsUsed, r.requestsHeld, r.shard,
            r.needed.value(), r.requestsNeeded, r.firstContact));
    }
    const auto vector = out.CreateVector(requests);
    return { wire::any_message::lease_requests, wire::Createlease_requests(out, vector).Union() };
}

encoded_message encode(builder& out, const lease_grants_message& m)
{
    std::vector<flatbuffers::Offset<wire::lease_grant>> grants;
    grants.reserve(m.grants.size());
    for (const auto& g : m.grants) {
        const auto team = out.CreateString(g.team.value());
        const auto entry = out.CreateString(g.entry.value());
        grants.push_back(wire::Createlease_grant(
            out, team, entry, g.sequence, g.granted.value(), g.requestsGranted, g.validFor.count(), g.shard,
            encodeEnum(g.verdict), g.retryAfter.count(), g.pressure));
    }
    const auto vector = out.CreateVector(grants);
    return { wire::any_message::lease_grants, wire::Createlease_grants(out, vector).Union() };
}

encoded_message encode(builder& out, const limit_handover_message& m)
{
    const auto team = out.CreateString(m.team.value());
    const auto table
        = wire::Createlimit_handover(out, team, m.shard, m.parts, m.tokens.value(), m.requests);
    return { wire::any_message::limit_handover, table.Union() };
}

protocol_error malformed(std::string field, std::string detail)
{
    return { protocol_errc::Malformed, std::move(field), std::move(detail) };
}

// Decodes messages and records the first invalid field, so that decoding a field takes one line without an error check.
struct decoder {
    std::string invalidField;

    void recordInvalid(const char* field)
    {
        if (invalidField.empty())
            invalidField = field;
    }

    attempt_id decodeAttempt(const wire::attempt_key* in)
    {
        if (!in || !in->request() || in->request()->size() == 0 || in->number() == 0) {
            recordInvalid("attempt");
            return {};
        }
        return { request_id(in->request()->str()), in->number() };
    }

    load_report decodeLoad(const wire::load_state* in)
    {
        if (!in) {
            recordInvalid("load");
            return {};
        }
        return { runner_id(text(in->runner())), in->accepting(), in->queued(), in->running(), in->slots(),
            token_count(in->backlog()), duration(in->token_interval_us()), in->cache_use() };
    }

    template <typename Enum>
    Enum decodeEnum(std::uint8_t value, Enum last, const char* field)
    {
        if (value > encodeEnum(last)) {
            recordInvalid(field);
            return {};
        }
        return static_cast<Enum>(value);
    }

    submit_message decode(const wire::submit& in)
    {
        submit_message m;
        m.attempt = decodeAttempt(in.attempt());
        m.expectedIncarnation = incarnation(in.expected_incarnation());
        m.team = team_id(text(in.team()));
        m.serviceClass = decodeEnum(in.service_class(), service_class::Batch, "service_class");
        m.weight = in.weight();
        if (!(m.weight > 0))
            recordInvalid("weight");
        m.idempotent = in.idempotent();
        m.dispatchWithin = duration(in.dispatch_within_us());
        m.answerWithin = duration(in.answer_within_us());
        m.cost = { token_count(in.prompt_tokens()), token_count(in.completion_tokens()) };
        m.prefixDigest = in.prefix_digest();
        m.kind = decodeEnum(in.kind(), pool_kind::Service, "kind");
        m.method = text(in.method());
        m.target = text(in.target());
        m.body = text(in.body());
        m.maxTokens = in.max_tokens();
        m.resumeFrom = in.resume_from();
        return m;
    }

    admission_message decode(const wire::admission& in)
    {
        const auto refusal = decodeEnum(in.refusal(), refusal_reason::TeamShare, "refusal");
        return { decodeAttempt(in.attempt()), refusal, decodeLoad(in.load()) };
    }

    chunk_message decode(const wire::chunk& in)
    {
        return { decodeAttempt(in.attempt()), in.sequence(), in.first_token(), in.tokens(), text(in.bytes()) };
    }

    finish_message decode(const wire::finish& in)
    {
        finish_message m;
        m.attempt = decodeAttempt(in.attempt());
        m.outcome = decodeEnum(in.outcome(), execution_outcome::Unknown, "outcome");
        m.chunkCount = in.chunk_count();
        m.httpStatus = in.http_status();
        m.contentType = text(in.content_type());
        m.usage = { token_count(in.prompt_tokens()), token_count(in.completion_tokens()) };
        m.load = decodeLoad(in.load());
        m.detail = text(in.detail());
        return m;
    }

    cancel_message decode(const wire::cancel& in) { return { decodeAttempt(in.attempt()) }; }

    cancelled_message decode(const wire::cancelled& in)
    {
        return { decodeAttempt(in.attempt()), in.never_dispatched() };
    }

    query_message decode(const wire::query& in) { return { decodeAttempt(in.attempt()), in.next_sequence() }; }

    credit_message decode(const wire::credit& in)
    {
        if (in.bytes() <= 0)
            recordInvalid("bytes");
        return { decodeAttempt(in.attempt()), byte_count(in.bytes()) };
    }

    load_update_message decode(const wire::load_update& in) { return { decodeLoad(in.load()) }; }

    static changes_request_message decode(const wire::changes_request& in)
    {
        changes_request_message m;
        m.after = config_version(in.after());
        m.nonce = in.nonce();
        m.snapshotAllowed = in.snapshot_allowed();
        m.snapshotFirst = in.snapshot_first();
        m.snapshotVersion = config_version(in.snapshot_version());
        return m;
    }

    changes_message decode(const wire::changes& in)
    {
        changes_message m;
        m.nonce = in.nonce();
        m.version = config_version(in.version());
        if (in.entries()) {
            for (const auto* entry : *in.entries()) {
                auto change = changeFromText(text(entry), "frame");
                if (change)
                    m.changes.push_back(std::move(change.value()));
                else
                    recordInvalid("changes");
            }
        }
        if (const auto* part = in.snapshot_part())
            m.snapshot = changes_message::snapshot_part { config_version(part->version()), part->first(),
                part->next(), part->total(), text(part->text()) };
        return m;
    }

    static lease_request_message decodeRequest(const wire::lease_request& in)
    {
        lease_request_message m;
        m.team = team_id(text(in.team()));
        m.entry = daemon_id(text(in.entry()));
        m.sequence = in.sequence();
        m.wanted = token_count(in.wanted());
        m.used = token_count(in.used());
        m.held = token_count(in.held());
        m.requestsWanted = in.requests_wanted();
        m.requestsUsed = in.requests_used();
        m.requestsHeld = in.requests_held();
        m.shard = in.shard();
        m.needed = token_count(in.needed());
        m.requestsNeeded = in.requests_needed();
        m.firstContact = in.first_contact();
        return m;
    }

    lease_grant_message decodeGrant(const wire::lease_grant& in)
    {
        lease_grant_message m;
        m.team = team_id(text(in.team()));
        m.entry = daemon_id(text(in.entry()));
        m.sequence = in.sequence();
        m.granted = token_count(in.granted());
        m.requestsGranted = in.requests_granted();
        m.validFor = duration(in.valid_for_us());
        m.shard = in.shard();
        m.verdict = decodeEnum(in.verdict(), lease_verdict::NotReady, "verdict");
        m.retryAfter = duration(in.retry_after_us());
        m.pressure = in.pressure();
        return m;
    }

    lease_requests_message decode(const wire::lease_requests& in)
    {
        lease_requests_message m;
        if (!in.requests()) {
            recordInvalid("requests");
            return m;
        }
        for (const auto* r : *in.requests())
            m.requests.push_back(decodeRequest(*r));
        return m;
    }

    lease_grants_message decode(const wire::lease_grants& in)
    {
        lease_grants_message m;
        if (!in.grants()) {
            recordInvalid("grants");
            return m;
        }
        for (const auto* g : *in.grants())
            m.grants.push_back(decodeGrant(*g));
        return m;
    }

    static limit_handover_message decode(const wire::limit_handover& in)
    {
        return { team_id(text(in.team())), in.shard(), in.parts(), token_count(in.tokens()), in.requests() };
    }

    peer_message decodeMessage(const wire::frame& in)
    {
        switch (in.message_type()) {
        case wire::any_message::NONE:
            return std::monostate();
        case wire::any_message::submit:
            return decode(*in.message_as_submit());
        case wire::any_message::admission:
            return decode(*in.message_as_admission());
        case wire::any_message::chunk:
            return decode(*in.message_as_chunk());
        case wire::any_message::finish:
            return decode(*in.message_as_finish());
        case wire::any_message::cancel:
            return decode(*in.message_as_cancel());
        case wire::any_message::cancelled:
            return decode(*in.message_as_cancelled());
        case wire::any_message::query:
            return decode(*in.message_as_query());
        case wire::any_message::credit:
            return decode(*in.message_as_credit());
        case wire::any_message::load_update:
            return decode(*in.message_as_load_update());
        case wire::any_message::changes_request:
            return decode(*in.message_as_changes_request());
        case wire::any_message::changes:
            return decode(*in.message_as_changes());
        case wire::any_message::lease_requests:
            return decode(*in.message_as_lease_requests());
        case wire::any_message::lease_grants:
            return decode(*in.message_as_lease_grants());
        case wire::any_message::limit_handover:
            return decode(*in.message_as_limit_handover());
        }
        recordInvalid("message_type");
        return std::monostate();
    }
};

}

std::string encodeFrame(const frame& in)
{
    builder out(initialFrameBytes);
    const auto sender = out.CreateString(in.sender.value());
    const auto [type, message] = std::visit([&out](const auto& m) { return encode(out, m); }, in.message);
    out.Finish(wire::Createframe(out, sender, in.senderIncarnation.value(), in.version.value(), type, message));
    return std::string(reinterpret_cast<const char*>(out.GetBufferPointer()), out.GetSize());
}

protocol_result<frame> decodeFrame(std::string_view bytes)
{
    if (bytes.size() > maxFrameBytes)
        return protocol_error { protocol_errc::TooLarge, "frame", "a frame must not exceed 1048576 bytes" };
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    if (!wire::VerifyframeBuffer(verifier))
        return malformed("frame", "the bytes are not an encoded frame");
    const wire::frame& in = *wire::Getframe(bytes.data());
    // The verifier accepts a message type without a message.
    if (in.message_type() != wire::any_message::NONE && !in.message())
        return malformed("message", "the frame has a message type but no message");
    decoder messageDecoder;
    frame out { daemon_id(text(in.sender())), incarnation(in.incarnation()), config_version(in.config_version()),
        messageDecoder.decodeMessage(in) };
    if (!messageDecoder.invalidField.empty())
        return malformed(messageDecoder.invalidField, "the field is missing or out of range");
    if (out.sender.value().empty())
        return malformed("sender", "every frame must name its sender");
    return out;
}

}
