#include "cli/validate_command.h"

#include "cli/read_file.h"
#include "cli/text_table.h"
#include "state/configuration_parser.h"

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>

#include <map>

namespace sardinelb {

command_outcome validateFile(const std::string& path)
{
    BOOST_OUTCOME_TRY(const std::string text, readFile(path));
    const auto parsed = parseConfiguration(text, path);
    if (!parsed)
        return toCommandError(parsed.error());
    std::map<std::string, int> counts;
    for (const entity& value : entitiesOf(parsed.value()))
        ++counts[toString(kindOf(value))];
    std::vector<std::vector<std::string>> rows { { "KIND", "COUNT" } };
    for (const auto& [kind, count] : counts)
        rows.push_back({ kind, std::to_string(count) });
    const nlohmann::json document { { "valid", true }, { "counts", counts } };
    return command_output { path + " is valid\n" + formatTable(rows), document.dump() };
}

}
