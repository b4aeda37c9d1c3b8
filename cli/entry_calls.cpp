#include "cli/entry_calls.h"

#include "cli/cli_settings.h"
#include "cli/parallel_calls.h"

namespace sardinelb {

std::vector<entry_response> queryAllEntries(const cli_settings& settings,
    const std::function<state_result<std::vector<std::string>>(const std::string& address)>& query)
{
    std::vector<entry_response> responses;
    for (const auto& [zone, addresses] : settings.entries) {
        for (const std::string& address : addresses)
            responses.push_back({ zone.value(), address, std::vector<std::string>() });
    }
    callInParallel(
        responses.size(), [&](std::size_t index) { responses[index].lines = query(responses[index].address); });
    return responses;
}

}
