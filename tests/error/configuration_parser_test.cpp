#include "state/configuration_parser.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace sardinelb {

namespace {

// An invalid document and the one fault that it must give.
struct bad_document {
    const char* name;
    std::string text;
    document_fault fault;
};

void PrintTo(const bad_document& document, std::ostream* out) { *out << document.name; }

std::string teamWith(const std::string& contractFields)
{
    return R"({"teams":[{"id":"a","contract":{)" + contractFields + "}}]}";
}

std::string runnerWith(const std::string& fields)
{
    return R"({"pools":[{"id":"p","kind":"model","wanted_runners":1}],"instances":[{"id":"i","zone":"z"}],)"
           R"("runners":[{"id":"r",)"
        + fields + "}]}";
}

const char* const goodTerms = R"("tokens_per_second":1,"requests_per_second":1,"service_class":"batch")";
const std::string nameRule = "expected a name of 1 to 200 characters without spaces, quotes or control characters";
const std::string addressRule = R"(expected an IP address and a port, as in "127.0.0.1:7101" or "[::1]:7101")";
const std::string digestRule = "expected a SHA-256 digest of 64 lower-case hexadecimal digits";
const std::string answerRule = "expected a whole number from 1 to 86400000";
const std::string classRule = R"(expected one of "interactive", "standard", "batch")";
const std::string teamLocation = "f.json: teams[0] \"a\"";
const std::string runnerLocation = "f.json: runners[0] \"r\"";

bad_document badRunner(const char* name, const std::string& address)
{
    const std::string text
        = runnerWith(R"("pool":"p","instance":"i","zone":"z","agent_address":")" + address + "\"");
    return { name, text, { runnerLocation, "agent_address", "\"" + address + "\"", addressRule } };
}

std::vector<bad_document> badDocuments()
{
    const std::string terms = goodTerms;
    return {
        { "documentIsArray", "[]", { "f.json", "", "[]", "expected an object" } },
        { "unknownSection", R"({"team":[]})",
            { "f.json", "team", "[]",
                R"(unknown field; expected one of "groups", "instances", "models", "naming_schemes", "pools", )"
                R"("runners", "services", "teams")" } },
        { "repeatedField", R"({"teams":[],"teams":[]})", { "f.json", "teams", "", "repeated field; expected it once" } },
        { "sectionIsObject", R"({"teams":{}})", { "f.json", "teams", "{}", "expected an array of objects" } },
        { "elementIsNumber", R"({"teams":[3]})", { "f.json: teams[0]", "", "3", "expected an object" } },
        { "missingId", R"({"instances":[{"zone":"z"}]})", { "f.json: instances[0]", "id", "", "expected a name" } },
        { "idIsNumber", R"({"instances":[{"id":4,"zone":"z"}]})",
            { "f.json: instances[0]", "id", "4", "expected a name" } },
        { "idHasSpace", R"({"instances":[{"id":"a b","zone":"z"}]})",
            { "f.json: instances[0] \"a b\"", "id", "\"a b\"", nameRule } },
        { "repeatedId", R"({"instances":[{"id":"i","zone":"z"},{"id":"i","zone":"y"}]})",
            { "f.json: instances[1] \"i\"", "id", "\"i\"", "repeated id; expected it once" } },
        { "missingContract", R"({"teams":[{"id":"a"}]})", { teamLocation, "contract", "", "missing; expected an object" } },
        { "contractIsString", R"({"teams":[{"id":"a","contract":"x"}]})",
            { teamLocation, "contract", "\"x\"", "expected an object" } },
        { "unknownContractField", teamWith(terms + R"(,"answer_within_ms":5,"burst":9)"),
            { teamLocation, "contract.burst", "9",
                R"(unknown field; expected one of "answer_within_ms", "requests_per_second", "service_class", )"
                R"("tokens_per_second")" } },
        { "missingDeadline", teamWith(terms), { teamLocation, "contract.answer_within_ms", "", "missing; " + answerRule } },
        { "deadlineIsZero", teamWith(terms + R"(,"answer_within_ms":0)"),
            { teamLocation, "contract.answer_within_ms", "0", answerRule } },
        { "deadlineIsFraction", teamWith(terms + R"(,"answer_within_ms":1.5)"),
            { teamLocation, "contract.answer_within_ms", "1.5", answerRule } },
        { "deadlineIsHuge", teamWith(terms + R"(,"answer_within_ms":18446744073709551615)"),
            { teamLocation, "contract.answer_within_ms", "18446744073709551615", answerRule } },
        { "negativeRate",
            teamWith(R"("tokens_per_second":1,"requests_per_second":-1,"service_class":"batch","answer_within_ms":5)"),
            { teamLocation, "contract.requests_per_second", "-1", "expected a number from 0.0 to 1000000.0" } },
        { "unknownClass",
            teamWith(R"("tokens_per_second":1,"requests_per_second":1,"service_class":"vip","answer_within_ms":5)"),
            { teamLocation, "contract.service_class", "\"vip\"", classRule } },
        { "shortDigest", R"({"teams":[{"id":"a","key_digests":["00"],"contract":{)" + terms + R"(,"answer_within_ms":5}}]})",
            { teamLocation, "key_digests[0]", "\"00\"", digestRule } },
        { "aliasIsNumber",
            R"({"naming_schemes":["grid"],"instances":[{"id":"i","zone":"z","aliases":{"grid":7}}]})",
            { "f.json: instances[0] \"i\"", "aliases.grid", "7", "expected a non-empty string" } },
        { "aliasOfUnknownScheme", R"({"instances":[{"id":"i","zone":"z","aliases":{"grid":"x"}}]})",
            { "f.json: instance \"i\"", "aliases", "\"grid\"", "expected a configured naming scheme" } },
        badRunner("addressIsHostName", "localhost:7101"),
        badRunner("addressHasNoPort", "127.0.0.1"),
        badRunner("addressHasPortZero", "127.0.0.1:0"),
        badRunner("addressHasLargePort", "127.0.0.1:65536"),
        badRunner("addressHasLargeOctet", "127.0.0.256:80"),
        badRunner("addressHasBareIpv6", "::1:80"),
        { "unknownPool", runnerWith(R"("pool":"q","instance":"i","zone":"z","agent_address":"127.0.0.1:1")"),
            { "f.json: runner \"r\"", "pool", "\"q\"", "expected a configured pool" } },
        { "unknownInstance", runnerWith(R"("pool":"p","instance":"j","zone":"z","agent_address":"127.0.0.1:1")"),
            { "f.json: runner \"r\"", "instance", "\"j\"", "expected a configured instance" } },
        { "zoneDiffersFromInstance", runnerWith(R"("pool":"p","instance":"i","zone":"y","agent_address":"127.0.0.1:1")"),
            { "f.json: runner \"r\"", "zone", "\"y\"", "expected the zone of its instance, \"z\"" } },
        { "flagIsNumber",
            runnerWith(R"("pool":"p","instance":"i","zone":"z","agent_address":"127.0.0.1:1","checks_fencing":1)"),
            { runnerLocation, "checks_fencing", "1", "expected true or false" } },
        { "routeWithoutMethod", R"({"pools":[{"id":"p","kind":"service","wanted_runners":1}],)"
                                R"("services":[{"id":"/bookings","pool":"p"}]})",
            { "f.json: services[0] \"/bookings\"", "id", "\"/bookings\"",
                R"(expected a method and a path prefix, as in "POST /bookings")" } },
        { "routeToModelPool", R"({"pools":[{"id":"p","kind":"model","wanted_runners":1}],)"
                              R"("services":[{"id":"GET /x","pool":"p"}]})",
            { "f.json: service \"GET /x\"", "pool", "\"p\"", R"(expected a pool of kind "service")" } },
        { "groupOfUnknownRunner", R"({"pools":[{"id":"p","kind":"model","wanted_runners":1}],)"
                                  R"("groups":[{"id":"g","pool":"p","ranks":["r9"],"expert_count":2}]})",
            { "f.json: rank_group \"g\"", "ranks", "\"r9\"", "expected a configured runner" } },
    };
}

class bad_document_test : public testing::TestWithParam<bad_document> { };

}

// Guards against invalid input that is accepted, and against messages that do not say what is wrong and where.
TEST_P(bad_document_test, givesExactlyItsFault)
{
    const auto parsed = parseConfiguration(GetParam().text, "f.json");
    ASSERT_FALSE(parsed);
    ASSERT_EQ(parsed.error().size(), 1U) << toStateError(parsed.error()).detail;
    EXPECT_EQ(describe(parsed.error().front()), describe(GetParam().fault));
    EXPECT_EQ(parsed.error().front(), GetParam().fault);
}

INSTANTIATE_TEST_SUITE_P(configuration_parser, bad_document_test, testing::ValuesIn(badDocuments()),
    [](const auto& tested) { return tested.param.name; });

// Guards against a parser that stops at the first fault, so that an operator has to fix them one by one.
TEST(configuration_parser, listsAllFaultsOfADocument)
{
    const auto parsed = parseConfiguration(
        R"({"pools":[{"id":"p","kind":"x","wanted_runners":-1,"size":2}],"instances":[{"id":"i"}],"extra":1})",
        "f.json");
    ASSERT_FALSE(parsed);
    std::vector<std::string> fields;
    for (const document_fault& fault : parsed.error())
        fields.push_back(fault.field);
    EXPECT_EQ(fields, (std::vector<std::string> { "kind", "wanted_runners", "size", "zone", "extra" }));
}

// Guards against a message without the position of a syntax error.
TEST(configuration_parser, syntaxErrorGivesLineAndColumn)
{
    const auto parsed = parseConfiguration("{\n  \"teams\": [,]\n}", "f.json");
    ASSERT_FALSE(parsed);
    EXPECT_NE(describe(parsed.error().front()).find("line 2, column 13"), std::string::npos)
        << describe(parsed.error().front());
}

// Guards against a crash on truncated input.
TEST(configuration_parser, everyPrefixOfADocumentIsRefused)
{
    const std::string text = R"({"instances":[{"id":"i","zone":"z","aliases":{}}]})";
    ASSERT_TRUE(parseConfiguration(text, "f.json"));
    for (std::size_t length = 0; length < text.size(); ++length)
        EXPECT_FALSE(parseConfiguration(text.substr(0, length), "f.json")) << length;
}

}
