#pragma once

#include "daemon/daemon_role.h"
#include "daemon/entry_address.h"
#include "state/document_fault.h"
#include "state/ids.h"
#include "state/pool.h"
#include "transport/socket_address.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sardinelb {

// Settings of one daemon, from its JSON file. docs/OPERATIONS.md describes each.
struct daemon_settings {
    daemon_id id;
    daemon_role role = daemon_role::Entry;
    availability_zone_id zone;
    // Addresses on which the daemon listens. Only an entry has one for callers.
    socket_address callerAddress;
    socket_address peerAddress;
    socket_address adminAddress;
    socket_address tableAddress;
    std::chrono::milliseconds tableTimeout { 2000 };
    // Known to all daemons of the system and to nobody else.
    std::string clusterKey;
    // SHA-256 of the operators' bearer key, lower-case hexadecimal digits.
    std::string operatorKeyDigest;
    // All entries of the system, this one among them.
    std::vector<entry_address> entries;
    // Agents: the runner beside them.
    socket_address runnerAddress;
    pool_kind runnerKind = pool_kind::Model;
    std::uint32_t runnerSlots = 8;
    // How long an entry that stops goes on taking requests while its readiness is already false.
    std::chrono::milliseconds drainDelay { 2000 };
};

// Reads settings strictly. `file` names the document in faults.
document_result<daemon_settings> parseDaemonSettings(const std::string& text, const std::string& file);

}
