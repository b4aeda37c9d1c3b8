#include "tests/stand_ins/call_counts.h"

#include "tests/stand_ins/booking_record.h"

#include <gtest/gtest.h>

#include <stdexcept>

namespace sardinelb::stand_ins {

TEST(CallCounts, OfSeveralServicesAreAdded)
{
    call_counts counts;
    addCounts(counts, R"({"a":1,"b":1})");
    addCounts(counts, R"({"a":1})");
    EXPECT_EQ(counts, (call_counts { { "a", 2 }, { "b", 1 } }));
    EXPECT_THROW(addCounts(counts, ""), std::invalid_argument);
}

// Guards against false alarms: if the outcome is unknown to the caller, one execution and none are both valid.
TEST(CallCounts, ThatAgreeWithTheAnswersShowNoDifference)
{
    const std::vector<booking_record> bookings = { { "answered", response_class::Answered, "1" },
        { "refused", response_class::NotRun, "2" }, { "unknown", response_class::Unknown, "3" },
        { "cut", response_class::Broken, "" } };
    const call_counts byId = { { "1", 1 }, { "3", 1 }, { "", 5 } };
    const call_counts byBody = { { "answered", 1 }, { "unknown", 1 }, { "", 5 } };
    EXPECT_TRUE(compareCounts(bookings, byId, byBody).isEmpty());
}

// Guards against missing a lost or repeated booking, or one that ran although it was reported as not run.
TEST(CallCounts, ThatDisagreeAreReportedByKind)
{
    const std::vector<booking_record> bookings = { { "repeated", response_class::Unknown, "1" },
        { "lost", response_class::Answered, "2" }, { "refused", response_class::NotRun, "3" } };
    const call_counts byId = { { "1", 2 }, { "3", 1 } };
    const call_counts byBody = { { "repeated", 2 }, { "refused", 1 } };
    const auto differences = compareCounts(bookings, byId, byBody);
    EXPECT_EQ(differences.repeated, 1U);
    EXPECT_EQ(differences.missing, 1U);
    EXPECT_EQ(differences.runThoughRefused, 1U);
    // The id that was executed twice, and the response whose id was never executed.
    EXPECT_EQ(differences.badRequestIds, 2U);
}

}
