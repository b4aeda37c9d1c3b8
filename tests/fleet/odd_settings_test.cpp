#include "platform/settings.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <optional>
#include <string>

namespace sardinelb::test {

class odd_settings : public testing::Test {
protected:
    std::optional<platform::settings> read(const std::string& ports, const std::string& more = "")
    {
        const std::string path = testing::TempDir() + "sardinelb_odd_settings_test.json";
        std::ofstream(path) << R"({"node":"n","ip":"10.1.0.40","platform":{"address":"10.200.1.7:8223"},"port_range":)" + ports + more + "}";
        auto result = platform::readSettings(path, m_problem);
        std::remove(path.c_str());
        return result;
    }

    std::string m_problem;
};

// Guards against a process that ends at SIGHUP, which reads the file again.
TEST_F(odd_settings, portOutOfRange_read_errorNamesTheField)
{
    EXPECT_TRUE(read("[7340,7355]")) << m_problem;
    for (const char* ports : { "[0,1]", "[-1,7]", "[7340,65536]", "[7340.5,7355]", "[7340,1e30]", "[1e400,7355]", "[7340,18446744073709551616]", "[\"7340\",7355]", "[[],{}]", "[7355,7340]" }) {
        m_problem.clear();
        EXPECT_FALSE(read(ports)) << ports;
        EXPECT_NE(m_problem.find("port_range"), std::string::npos) << ports;
    }
}

// Guards against a division by zero, and against times that overflow.
TEST_F(odd_settings, boundOutOfRange_read_errorNamesTheField)
{
    for (const char* more : { R"("bounds":{"grace_s":1e300})", R"("bounds":{"grace_s":-1})", R"("bounds":{"retry_ratio":-0.1})", R"("bounds":{"retry_slack":1e400})",
             R"("bounds":{"retry_window_s":-1e30})", R"("limits":{"link_mbps":0})", R"("limits":{"link_mbps":-5})", R"("limits":{"link_mbps":1e400})" }) {
        m_problem.clear();
        EXPECT_FALSE(read("[7340,7355]", std::string(",") + more)) << more;
        EXPECT_NE(m_problem.find(std::string(more).substr(std::string(more).find('{') + 2, 5)), std::string::npos) << m_problem;
    }
}

}
