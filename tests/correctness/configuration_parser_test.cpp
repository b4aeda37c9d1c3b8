#include "state/configuration_parser.h"

#include <gtest/gtest.h>

namespace sardinelb {

namespace {

const char* const fleet = R"({
  "naming_schemes": ["ledger", "grid"],
  "pools": [
    { "id": "assist-llm", "kind": "model", "wanted_runners": 16 },
    { "id": "dispatch-app", "kind": "service", "wanted_runners": 3 }
  ],
  "models": [ { "id": "assist", "aliases": { "grid": "m-17" }, "pool": "assist-llm" } ],
  "instances": [ { "id": "box-1", "aliases": { "ledger": "HW0001" }, "zone": "naju-yard" } ],
  "teams": [
    { "id": "dispatch", "aliases": { "ledger": "T-9", "grid": "dsp" },
      "key_digests": ["0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"],
      "contract": { "tokens_per_second": 4000, "requests_per_second": 12.5, "service_class": "interactive",
                    "answer_within_ms": 60000 } }
  ],
  "runners": [
    { "id": "r1", "pool": "assist-llm", "instance": "box-1", "zone": "naju-yard",
      "agent_address": "127.0.0.1:7101", "target": "draining", "checks_fencing": true }
  ],
  "services": [ { "id": "POST /bookings", "pool": "dispatch-app" },
                { "id": "GET /bookings", "pool": "dispatch-app", "idempotent": true } ],
  "groups": [ { "id": "g1", "pool": "assist-llm", "ranks": ["r1", "r1"], "expert_count": 256 } ]
})";

}

// Guards against fields that are read into the wrong member.
TEST(configuration_parser, readsEveryField)
{
    const auto parsed = parseConfiguration(fleet, "fleet.json");
    ASSERT_TRUE(parsed) << toStateError(parsed.error()).detail;
    const configuration& read = parsed.value();
    const team& dispatch = read.teams.at(team_id("dispatch"));
    EXPECT_EQ(dispatch.aliases.at("grid"), "dsp");
    EXPECT_EQ(dispatch.terms.tokensPerSecond, token_count(4000));
    EXPECT_EQ(dispatch.terms.requestsPerSecond, 12.5);
    EXPECT_EQ(dispatch.terms.serviceClass, service_class::Interactive);
    EXPECT_EQ(dispatch.terms.answerWithin, std::chrono::minutes(1));
    const runner& first = read.runners.at(runner_id("r1"));
    EXPECT_EQ(first.target, runner_target::Draining);
    EXPECT_TRUE(first.checksFencing);
    EXPECT_EQ(read.routes.at("POST /bookings").pathPrefix, "/bookings");
    EXPECT_FALSE(read.routes.at("POST /bookings").idempotent);
    EXPECT_TRUE(read.routes.at("GET /bookings").idempotent);
    EXPECT_EQ(read.groups.at(group_id("g1")).ranks.size(), 2U);
    EXPECT_EQ(read.pools.at(pool_id("dispatch-app")).kind, pool_kind::Service);
}

// Guards against a writer that loses fields.
TEST(configuration_parser, writtenDocumentReadsAsTheSame)
{
    const auto parsed = parseConfiguration(fleet, "fleet.json");
    ASSERT_TRUE(parsed);
    const std::string written = documentOf(parsed.value());
    const auto again = parseConfiguration(written, "again.json");
    ASSERT_TRUE(again) << toStateError(again.error()).detail;
    EXPECT_EQ(documentOf(again.value()), written);
}

}
