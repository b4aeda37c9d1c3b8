#pragma once

#include "state/change_log_settings.h"
#include "state/configuration.h"
#include "state/configuration_change.h"
#include "state/state_error.h"
#include "state/table_service.h"

#include <optional>
#include <string>
#include <vector>

namespace sardinelb {

// The configuration as a sequence of changes in the table, one row per change, with snapshots in the object store.
// Calls block on the table service. Not thread-safe.
class change_log {
public:
    explicit change_log(table_service, change_log_settings = {});

    // Reads the latest snapshot and the changes after it. Returns the configuration that the table holds now.
    state_result<configuration> load();

    // Returns the changes after the version in order, at most one batch. Error Invalid: a row is malformed or missing.
    state_result<std::vector<configuration_change>> readAfter(config_version) const;

    // Commits the change as the next one and returns it with its version. The change must carry author, token and
    // updates; its version is ignored. If another change is committed first, the change is retried on top of it, unless
    // both update the same entity. Errors: those of applyChange, with Conflict naming the other change and its author;
    // Unavailable (nothing was written); OutcomeUnknown (the change may have been committed; the detail gives the row
    // and the token to look for).
    state_result<configuration_change> append(const configuration_change&);

    // Whether the table has lost this committed change, as after a restore from an earlier copy. Error Conflict: another
    // change has been committed under its version since.
    state_result<bool> hasLost(const configuration_change&) const;

    // Writes again those of the committed changes that the table has lost, unless a concurrent writer interferes. They must
    // be in order and without gaps. Errors: Conflict (another change has been committed under one of their versions);
    // Invalid (the table has lost earlier changes than these); Unavailable and OutcomeUnknown (call again).
    state_result<void> rewriteLost(const std::vector<configuration_change>&) const;

    // The configuration as of the last load or append.
    const configuration& current() const { return m_current; }

    // Key of the row of a change, as in "change/00000000000000000042".
    static std::string rowKey(config_version);

private:
    // Progress of one append.
    struct pending_commit;

    state_result<void> catchUp(pending_commit&);
    state_result<void> tryCommit(pending_commit&);
    state_error describeConflict(const configuration_change&, const state_error&) const;
    std::optional<configuration_change> findConflictingChange(const entity_update&) const;
    state_result<std::optional<configuration_change>> readChange(config_version) const;
    void writeSnapshotIfDue();

    table_service m_table;
    change_log_settings m_settings;
    configuration m_current;
    config_version m_snapshotVersion;
};

}
