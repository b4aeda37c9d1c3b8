#pragma once

#include "daemon/daemon_role.h"
#include "daemon/entry_address.h"
#include "state/document_fault.h"
#include "state/ids.h"
#include "state/pool.h"
#include "transport/socket_address.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace sardinelb {

// Settings of one daemon, read from its JSON file. docs/OPERATIONS.md describes each.
struct daemon_settings {
    daemon_id id;
    daemon_role role = daemon_role::Entry;
    availability_zone_id zone;
    // Addresses that the daemon listens on; agents have no caller address.
    socket_address callerAddress;
    socket_address peerAddress;
    socket_address adminAddress;
    socket_address tableAddress;
    std::chrono::milliseconds tableTimeout { 2000 };
    // Secret shared by all daemons of the system.
    std::string clusterKey;
    // SHA-256 digest of the operators' bearer key, in lower-case hexadecimal digits.
    std::string operatorKeyDigest;
    // All entries of the system, including this daemon if it is one.
    std::vector<entry_address> entries;
    // Agents only: the runner that the agent controls.
    socket_address runnerAddress;
    pool_kind runnerKind = pool_kind::Model;
    std::uint32_t runnerSlots = 8;
    // Entries only: what the machine gives the process.
    std::size_t memoryBytes = std::size_t { 1 } << 30;
    std::size_t maxDescriptors = 8192;
    // Time for which a stopping entry still accepts requests while it already reports not ready.
    std::chrono::milliseconds drainDelay { 2000 };
};

// Parses settings strictly: unknown and duplicate fields are faults. `file` names the document in fault messages.
document_result<daemon_settings> parseDaemonSettings(const std::string& text, const std::string& file);

}
