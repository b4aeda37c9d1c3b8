#pragma once

#include "protocol/frame.h"

#include <rapidcheck.h>

#include <string>

namespace sardinelb {

// Generates random frames whose fields are within the valid ranges.
class random_frames {
public:
    // A frame with a message of any kind.
    static frame any()
    {
        frame result { daemon_id(name()), incarnation(number64()), config_version(number64()), std::monostate() };
        switch (*rc::gen::inRange(0, 14)) {
        case 1:
            result.message = submit();
            break;
        case 2:
            result.message = admission_message { attempt(), oneOf(refusal_reason::TeamShare), load() };
            break;
        case 3:
            result.message = chunk_message { attempt(), number64(), number32(), number32(), bytes() };
            break;
        case 4:
            result.message = finish_message { attempt(), oneOf(execution_outcome::Unknown), number64(),
                *rc::gen::arbitrary<int>(), bytes(), { tokens(), tokens() }, load(), bytes() };
            break;
        case 5:
            result.message = cancel_message { attempt() };
            break;
        case 6:
            result.message = cancelled_message { attempt(), flag() };
            break;
        case 7:
            result.message = query_message { attempt(), number64() };
            break;
        case 8:
            result.message = credit_message { attempt(), byte_count(*rc::gen::positive<std::int64_t>()) };
            break;
        case 9:
            result.message = load_update_message { load() };
            break;
        case 10:
            result.message
                = changes_request_message { config_version(number64()), number64(), flag(), number32(), config_version(number64()) };
            break;
        case 11:
            result.message = changes();
            break;
        case 12:
            result.message = lease_requests_message { { leaseRequest(), leaseRequest() } };
            break;
        case 13:
            result.message = lease_grants_message { { leaseGrant(), leaseGrant() } };
            break;
        default:
            break;
        }
        return result;
    }

private:
    static std::uint64_t number64() { return *rc::gen::arbitrary<std::uint64_t>(); }
    static std::uint32_t number32() { return *rc::gen::arbitrary<std::uint32_t>(); }
    static bool flag() { return *rc::gen::arbitrary<bool>(); }
    static std::string bytes() { return *rc::gen::arbitrary<std::string>(); }
    static std::string name() { return "d" + *rc::gen::arbitrary<std::string>(); }
    static token_count tokens() { return token_count(*rc::gen::arbitrary<std::int64_t>()); }
    static duration anyDuration() { return duration(*rc::gen::arbitrary<std::int64_t>()); }
    static double real() { return *rc::gen::inRange(0, 1000000) / 64.0; }

    template <typename Enum>
    static Enum oneOf(Enum last)
    {
        return static_cast<Enum>(*rc::gen::inRange(0, static_cast<int>(last) + 1));
    }

    static attempt_id attempt() { return { request_id(name()), *rc::gen::inRange<std::uint32_t>(1, 1000) }; }

    static load_report load()
    {
        return { runner_id(name()), flag(), number32(), number32(), number32(), tokens(), anyDuration(), real() };
    }

    static submit_message submit()
    {
        submit_message result;
        result.attempt = attempt();
        result.expectedIncarnation = incarnation(number64());
        result.team = team_id(name());
        result.serviceClass = oneOf(service_class::Batch);
        result.weight = 1 + real();
        result.idempotent = flag();
        result.dispatchWithin = anyDuration();
        result.answerWithin = anyDuration();
        result.cost = { tokens(), tokens() };
        result.prefixDigest = number64();
        result.kind = oneOf(pool_kind::Service);
        result.method = bytes();
        result.target = bytes();
        result.body = bytes();
        result.maxTokens = number32();
        result.resumeFrom = number32();
        return result;
    }

    static changes_message changes()
    {
        changes_message result;
        result.nonce = number64();
        result.version = config_version(number64());
        if (flag())
            result.snapshot = changes_message::snapshot_part { config_version(number64()), number32(), number32(),
                number32(), bytes() };
        return result;
    }

    static lease_request_message leaseRequest()
    {
        return { team_id(name()), daemon_id(name()), number64(), tokens(), tokens(), tokens(), real(), real(), real(),
            number32(), tokens(), real(), flag() };
    }

    static lease_grant_message leaseGrant()
    {
        return { team_id(name()), daemon_id(name()), number64(), tokens(), real(), anyDuration(), number32(),
            oneOf(lease_verdict::NotReady), anyDuration(), real() };
    }
};

}
