#pragma once

#include "coordination/messages/changes_message.h"
#include "state/configuration.h"
#include "state/document_fault.h"

#include <cstdint>
#include <optional>

namespace sardinelb {

// Joins the parts of a configuration. Parts arrive in order, one per request; the first part of another version starts
// over.
class snapshot_receiver {
public:
    // Version and position to ask for next; position 0 when no part has arrived.
    config_version version() const { return m_received.version; }
    std::uint32_t next() const { return m_next; }

    // Takes a part. Returns the configuration when it was the last one, nothing when others are missing, and the
    // faults of entities that are not a valid configuration; these are forgotten.
    document_result<std::optional<configuration>> add(const changes_message::snapshot_part&);

private:
    document_result<std::optional<configuration>> finish();
    void reset(config_version);

    std::uint32_t m_next = 0;
    configuration m_received;
};

}
