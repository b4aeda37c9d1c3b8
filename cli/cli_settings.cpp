#include "cli/cli_settings.h"

#include "state/object_reader.h"
#include "state/socket_address.h"

#include <nlohmann/json.hpp>

namespace sardinelb {

namespace {

using nlohmann::json;

void readEntries(cli_settings& settings, const json& zones, const std::string& file, document_faults& faults)
{
    object_reader reader(zones, file, "entries.", faults);
    for (const auto& [zone, addresses] : zones.items()) {
        auto parsed = reader.optionalStrings(zone, isSocketAddress, socketAddressExpected);
        if (addresses.is_array() && addresses.empty())
            reader.fault(zone, &addresses, "expected at least one address");
        settings.entries.emplace(availability_zone_id(zone), std::move(parsed));
    }
    if (zones.empty())
        reader.fault("", &zones, "expected at least one availability zone");
}

}

document_result<cli_settings> parseCliSettings(std::string_view text, const std::string& file)
{
    document_faults faults;
    const json document = parseStrictJson(text, file, faults);
    if (!faults.empty())
        return faults;
    object_reader reader(document, file, "", faults);
    cli_settings settings;
    settings.tableAddress = reader.requiredText("table", isSocketAddress, socketAddressExpected);
    if (const json* zones = reader.requiredObject("entries"))
        readEntries(settings, *zones, file, faults);
    settings.operatorKey = reader.requiredString("operator_key");
    settings.author = reader.requiredString("author");
    reader.finish();
    if (!faults.empty())
        return faults;
    return settings;
}

}
