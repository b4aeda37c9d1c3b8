#include "serving/crash_attribution.h"
#include "serving/runner_crash.h"
#include "serving/runner_directory.h"

#include <gtest/gtest.h>

namespace sardinelb::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

class crash_evidence : public testing::Test {
protected:
    static runner_crash crashOf(std::uint64_t process, const std::string& group = "g")
    {
        runner_crash crash;
        crash.process = runner_process_id(process);
        crash.group = group_id(group);
        return crash;
    }

    crash_attribution m_attribution;
    time_point m_now { seconds(100) };
};

// Guards against sound prompts that are quarantined because a rank of their group has crashed.
TEST_F(crash_evidence, rankOfGroupCrashes_companionsEnd_onlyTheFirstCounts)
{
    EXPECT_TRUE(m_attribution.isEvidence(crashOf(1), m_now));
    EXPECT_TRUE(m_attribution.isEvidence(crashOf(1), m_now + milliseconds(1))) << "another request of the same rank";
    EXPECT_FALSE(m_attribution.isEvidence(crashOf(2), m_now + milliseconds(1)));
    EXPECT_FALSE(m_attribution.isEvidence(crashOf(3), m_now + milliseconds(1900)));
    EXPECT_TRUE(m_attribution.isEvidence(crashOf(4, "h"), m_now + milliseconds(1900)));
}

// Guards against a deadly prompt that is never found because its group crashes again and again.
TEST_F(crash_evidence, groupRunsAgain_nextRankCrashes_counts)
{
    EXPECT_TRUE(m_attribution.isEvidence(crashOf(1), m_now));
    EXPECT_FALSE(m_attribution.isEvidence(crashOf(2), m_now + seconds(1)));
    EXPECT_TRUE(m_attribution.isEvidence(crashOf(5), m_now + milliseconds(2100)));
}

// Guards against quarantines for runners that crash because they get too much, and against one of them hiding the crash of another rank.
TEST_F(crash_evidence, runnerIsColdOrOverrun_noEvidence)
{
    runner_crash cold = crashOf(1);
    cold.isCold = true;
    EXPECT_FALSE(m_attribution.isEvidence(cold, m_now));
    runner_crash overrun = crashOf(2);
    overrun.isOverrun = true;
    EXPECT_FALSE(m_attribution.isEvidence(overrun, m_now));
    EXPECT_TRUE(m_attribution.isEvidence(crashOf(3), m_now));
}

// Guards against treating runners without groups as companions.
TEST_F(crash_evidence, runnersWithoutGroup_eachCounts)
{
    EXPECT_TRUE(m_attribution.isEvidence(crashOf(1, ""), m_now));
    EXPECT_TRUE(m_attribution.isEvidence(crashOf(2, ""), m_now));
}

}
