#include "state/configuration_parser.h"
#include "state/object_reader.h"

#include <nlohmann/json.hpp>

#include <gtest/gtest.h>

#include <string>

namespace sardinelb::test {

class odd_document : public testing::Test {
protected:
    static std::string nested(int depth)
    {
        return std::string(static_cast<std::size_t>(depth), '[') + std::string(static_cast<std::size_t>(depth), ']');
    }

    document_faults m_faults;
};

// Guards against a process that ends when it describes a deeply nested value in a message.
TEST_F(odd_document, valueNestedHundredThousandsDeep_read_faultOnly)
{
    const nlohmann::json document = parseStrictJson(R"({"version":)" + nested(400000) + "}", "config", m_faults);
    object_reader reader(document, "config", "", m_faults);
    reader.requiredInteger("version", 0, 7);
    reader.finish();
    EXPECT_FALSE(m_faults.empty());
}

TEST_F(odd_document, numberOutOfRange_read_fault)
{
    for (const char* number : { "-1", "1e308", "4294967296", "18446744073709551616", "0.5" }) {
        m_faults.clear();
        const nlohmann::json document = parseStrictJson(R"({"slots":)" + std::string(number) + "}", "config", m_faults);
        object_reader reader(document, "config", "", m_faults);
        reader.requiredInteger("slots", 0, 1000000);
        EXPECT_FALSE(m_faults.empty()) << number;
    }
    parseStrictJson(R"({"slots":1e400})", "config", m_faults);
    EXPECT_FALSE(m_faults.empty());
}

}
