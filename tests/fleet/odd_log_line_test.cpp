#include "fleet/event_log.h"

#include <boost/json.hpp>

#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <string>

namespace sardinelb::test {

class odd_log_line : public testing::Test {
protected:
    static std::string lineOf(const event_log::field& field)
    {
        testing::internal::CaptureStdout();
        event_log("d").write("e", { field });
        return testing::internal::GetCapturedStdout();
    }

    static void expectJson(const std::string& line)
    {
        boost::system::error_code error;
        const boost::json::value value = boost::json::parse(line, error);
        EXPECT_FALSE(error) << error.message() << ": " << line.substr(0, 200);
    }
};

// Guards against log lines that are no JSON, and so are lost to whoever reads the log.
TEST_F(odd_log_line, textOrNumberWithoutJsonForm_written_lineIsJson)
{
    for (const char* text : { "\xff\xfe", "a\xc3(", "\xc3", "\xed\xa0\x80", "\xf4\x90\x80\x80", "\xc0\xaf", "tab\t\n\"\\", "\x7f", "\xc3\xa9\xe2\x82\xac\xf0\x9f\x98\x80" })
        expectJson(lineOf({ "text", std::string_view(text) }));
    for (const double number : { std::nan(""), std::numeric_limits<double>::infinity(), -std::numeric_limits<double>::infinity(), 1e308, -1e308, 1e20, 0.5 })
        expectJson(lineOf({ "number", number }));
    EXPECT_NE(lineOf({ "text", std::string_view("\xc3\xa9\xe2\x82\xac\xf0\x9f\x98\x80") }).find("\xc3\xa9\xe2\x82\xac\xf0\x9f\x98\x80"), std::string::npos);
    EXPECT_NE(lineOf({ "number", 0.5 }).find(":0.500}"), std::string::npos);
}

}
