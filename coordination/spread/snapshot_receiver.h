#pragma once

#include "coordination/messages/changes_message.h"
#include "state/configuration.h"
#include "state/document_fault.h"

#include <cstdint>
#include <optional>

namespace sardinelb {

// Assembles a configuration from the parts of a snapshot. Parts arrive in order, one per request; the first part of
// another version starts over.
class snapshot_receiver {
public:
    // Version and position to request next; position 0 if no part has arrived.
    config_version version() const { return m_received.version; }
    std::uint32_t next() const { return m_next; }

    // Adds a part. Returns the configuration after the last part, and nothing while parts are missing. If the entities
    // are no valid configuration, discards them and returns their faults.
    document_result<std::optional<configuration>> add(const changes_message::snapshot_part&);

private:
    document_result<std::optional<configuration>> finish();
    void reset(config_version);

    std::uint32_t m_next = 0;
    configuration m_received;
};

}
