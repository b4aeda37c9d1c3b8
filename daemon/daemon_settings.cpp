#include "daemon/daemon_settings.h"

#include "state/hex_text.h"
#include "state/object_reader.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sardinelb {

namespace {

using nlohmann::json;

const char* const addressExpected = "expected an IP address and a port, as in 127.0.0.1:7100";
constexpr std::size_t minKeyBytes = 16;
constexpr std::int64_t maxRunnerSlots = 1024;
constexpr std::int64_t maxDrainMs = 600'000;
constexpr std::int64_t maxTableTimeoutMs = 60'000;
constexpr std::size_t bytesPerMegabyte = std::size_t { 1 } << 20;
constexpr std::int64_t maxMemoryMegabytes = 16'777'216;
// Of these, 200 are kept for files.
constexpr std::int64_t minDescriptors = 256;
constexpr std::int64_t maxDescriptors = 1'048'576;

bool isAddress(const std::string& text)
{
    return parseAddress(text).has_value();
}

socket_address addressOf(const std::string& text)
{
    const auto address = parseAddress(text);
    return address ? address.value() : socket_address();
}

socket_address requiredAddress(object_reader& reader, const std::string& field)
{
    return addressOf(reader.requiredText(field, isAddress, addressExpected));
}

std::chrono::milliseconds optionalMs(
    object_reader& reader, const std::string& field, std::chrono::milliseconds fallback, std::int64_t minMs,
    std::int64_t maxMs)
{
    const json* value = reader.optionalValue(field);
    if (!value)
        return fallback;
    if (value->is_number_integer() && *value >= minMs && *value <= maxMs)
        return std::chrono::milliseconds(value->get<std::int64_t>());
    reader.fault(field, value,
        "expected a whole number of milliseconds from " + std::to_string(minMs) + " to " + std::to_string(maxMs));
    return fallback;
}

std::size_t optionalCount(object_reader& reader, const std::string& field, std::size_t fallback, std::int64_t minimum, std::int64_t maximum)
{
    const json* value = reader.optionalValue(field);
    if (!value)
        return fallback;
    if (value->is_number_integer() && *value >= minimum && *value <= maximum)
        return value->get<std::size_t>();
    reader.fault(field, value, "expected a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    return fallback;
}

// Reads the entries of one zone: an object that maps names to addresses.
void readZone(const std::string& zone, const json& names, object_reader& reader, std::vector<entry_address>& entries)
{
    const std::string prefix = "entries." + zone + ".";
    for (const auto& [name, value] : names.items()) {
        const bool valid = value.is_string() && isAddress(value.get<std::string>());
        if (valid)
            entries.push_back({ daemon_id(name), availability_zone_id(zone), addressOf(value.get<std::string>()) });
        else
            reader.fault(prefix + name, &value, addressExpected);
    }
}

std::vector<entry_address> readEntries(object_reader& reader)
{
    std::vector<entry_address> entries;
    const json* zones = reader.requiredObject("entries");
    if (!zones)
        return entries;
    for (const auto& [zone, names] : zones->items()) {
        if (names.is_object())
            readZone(zone, names, reader, entries);
        else
            reader.fault("entries." + zone, &names, "expected an object of entry names and peer addresses");
    }
    return entries;
}

void readRunner(object_reader& reader, daemon_settings& settings)
{
    settings.runnerAddress = requiredAddress(reader, "runner_address");
    settings.runnerKind = static_cast<pool_kind>(reader.choice("runner_kind", { "model", "service" }, true));
    settings.runnerSlots = static_cast<std::uint32_t>(reader.requiredInteger("runner_slots", 1, maxRunnerSlots));
}

}

document_result<daemon_settings> parseDaemonSettings(const std::string& text, const std::string& file)
{
    document_faults faults;
    const json document = parseStrictJson(text, file, faults);
    if (!faults.empty())
        return faults;
    object_reader reader(document, file, "", faults);
    daemon_settings settings;
    settings.id = daemon_id(reader.requiredString("id"));
    settings.role = static_cast<daemon_role>(reader.choice("role", { "entry", "agent" }, true));
    settings.zone = availability_zone_id(reader.requiredString("availability_zone"));
    settings.peerAddress = requiredAddress(reader, "peer_address");
    settings.adminAddress = requiredAddress(reader, "admin_address");
    settings.tableAddress = requiredAddress(reader, "table_address");
    settings.tableTimeout = optionalMs(reader, "table_timeout_ms", settings.tableTimeout, 1, maxTableTimeoutMs);
    settings.clusterKey = reader.requiredText(
        "cluster_key",
        [](const std::string& key) { return key.size() >= minKeyBytes; }, "expected at least 16 characters");
    settings.operatorKeyDigest = reader.requiredText(
        "operator_key_sha256", isSha256Digest, sha256DigestExpected);
    settings.entries = readEntries(reader);
    if (settings.role == daemon_role::Entry) {
        settings.callerAddress = requiredAddress(reader, "caller_address");
        settings.memoryBytes = optionalCount(reader, "memory_mb", settings.memoryBytes / bytesPerMegabyte, 1, maxMemoryMegabytes) * bytesPerMegabyte;
        settings.maxDescriptors = optionalCount(reader, "max_descriptors", settings.maxDescriptors, minDescriptors, maxDescriptors);
        settings.drainDelay = optionalMs(reader, "drain_delay_ms", settings.drainDelay, 0, maxDrainMs);
    } else
        readRunner(reader, settings);
    reader.finish();
    if (!faults.empty())
        return faults;
    return settings;
}

}
