#include "state/change_log.h"

#include "state/apply_change.h"
#include "state/change_json.h"
#include "state/entity.h"
#include "state/snapshot_json.h"

#include <boost/outcome/try.hpp>

#include <algorithm>
#include <cstdio>

namespace sardinelb {

namespace {

const char* const rowPrefix = "change/";
// First key after all rows of changes: '0' follows '/'.
const char* const rowsEnd = "change0";
const char* const snapshotKey = "snapshot/configuration";

config_version nextVersion(config_version version) { return config_version(version.value() + 1); }

std::string describeEntity(const entity_update& update)
{
    return std::string(toString(update.kind)) + " \"" + update.id + "\"";
}

bool updatesEntity(const configuration_change& change, const entity_update& own)
{
    return std::any_of(change.updates.begin(), change.updates.end(),
        [&](const entity_update& update) { return update.kind == own.kind && update.id == own.id; });
}

bool isStale(const configuration& current, const entity_update& update)
{
    if (update.kind == entity_kind::NamingScheme)
        return false;
    const std::optional<entity> existing = findEntity(current, update.kind, update.id);
    return (existing ? changedAt(*existing) : config_version()) != update.base;
}

state_result<configuration_change> parseRow(const table_row& row, config_version expected)
{
    const std::string key = change_log::rowKey(expected);
    if (row.key != key)
        return state_error { state_errc::Invalid, key, "the row is missing; the next one is " + row.key };
    auto change = changeFromText(row.value, key);
    if (!change)
        return toStateError(change.error());
    if (change.value().version != expected)
        return state_error { state_errc::Invalid, key, "the row holds another version" };
    return change.value();
}

}

struct change_log::pending_commit {
    configuration_change change;
    // The row may already hold `change`: a write was not answered, and the row was not found to hold another change.
    bool mayBeWritten = false;
    // The change is committed; `change` has its version.
    bool isCommitted = false;

    // Returns an error that tells whether the change may have been committed.
    state_error failure(const state_error& cause) const
    {
        if (!mayBeWritten)
            return cause;
        return { state_errc::OutcomeUnknown, rowKey(change.version),
            "the change was committed if this row has the token \"" + change.token + "\"; " + cause.subject + ": "
                + cause.detail };
    }
};

change_log::change_log(table_service table, change_log_settings settings)
    : m_table(std::move(table))
    , m_settings(settings)
{
}

std::string change_log::rowKey(config_version version)
{
    constexpr std::size_t keySize = 32;
    char key[keySize];
    std::snprintf(key, sizeof key, "%s%020llu", rowPrefix, static_cast<unsigned long long>(version.value()));
    return key;
}

state_result<configuration> change_log::load()
{
    BOOST_OUTCOME_TRY(const std::optional<std::string> text, m_table.readObject(snapshotKey));
    if (text) {
        // An invalid snapshot is ignored; the rows hold all changes.
        auto snapshot = snapshotFromText(*text, snapshotKey);
        if (snapshot && snapshot.value().version > m_current.version) {
            m_current = std::move(snapshot.value());
            m_snapshotVersion = m_current.version;
        }
    }
    pending_commit none;
    BOOST_OUTCOME_TRY(catchUp(none));
    return m_current;
}

state_result<std::vector<configuration_change>> change_log::readAfter(config_version version) const
{
    BOOST_OUTCOME_TRY(const std::vector<table_row> rows,
        m_table.readRange(rowKey(nextVersion(version)), rowsEnd, m_settings.rowsPerRead));
    std::vector<configuration_change> changes;
    config_version expected = version;
    for (const table_row& row : rows) {
        expected = nextVersion(expected);
        BOOST_OUTCOME_TRY(configuration_change change, parseRow(row, expected));
        changes.push_back(std::move(change));
    }
    return changes;
}

state_result<void> change_log::catchUp(pending_commit& own)
{
    while (true) {
        BOOST_OUTCOME_TRY(const std::vector<configuration_change> changes, readAfter(m_current.version));
        for (const configuration_change& change : changes) {
            BOOST_OUTCOME_TRY(applyCommittedChange(m_current, change));
            if (!own.change.token.empty() && change.token == own.change.token) {
                own.isCommitted = true;
                own.change.version = change.version;
            }
            // Writes require that the row does not exist, so a delayed write of it can no longer take effect.
            own.mayBeWritten = false;
        }
        if (changes.empty())
            return boost::outcome_v2::success();
    }
}

state_result<void> change_log::tryCommit(pending_commit& own)
{
    own.change.version = nextVersion(m_current.version);
    auto next = applyChange(m_current, own.change);
    if (!next)
        return next.error().code == state_errc::Conflict ? describeConflict(own.change, next.error()) : next.error();
    const std::string text = changeToText(own.change);
    if (text.size() > m_settings.maxChangeBytes) {
        const std::string limit = std::to_string(m_settings.maxChangeBytes);
        return state_error { state_errc::Invalid, "change", "expected at most " + limit + " bytes; split the change" };
    }
    table_transaction transaction;
    const std::string key = rowKey(own.change.version);
    transaction.conditions.push_back({ key, row_revision() });
    transaction.puts.emplace_back(key, text);
    const auto written = m_table.transact(transaction);
    if (written) {
        m_current = std::move(next.value());
        own.isCommitted = true;
        return boost::outcome_v2::success();
    }
    if (written.error().code == state_errc::OutcomeUnknown)
        own.mayBeWritten = true;
    else if (written.error().code != state_errc::Conflict)
        return own.failure(written.error());
    const auto read = catchUp(own);
    // A failed read of a later batch does not matter once the own change was found.
    if (!read && !own.isCommitted)
        return own.failure(read.error());
    return boost::outcome_v2::success();
}

state_result<configuration_change> change_log::append(const configuration_change& draft)
{
    if (draft.author.empty() || draft.token.empty() || draft.updates.empty())
        return state_error { state_errc::Invalid, "change", "expected an author, a token and at least one update" };
    pending_commit own { draft };
    const auto read = catchUp(own);
    if (!read && !own.isCommitted)
        return read.error();
    for (int attempt = 0; attempt < m_settings.maxCommitAttempts && !own.isCommitted; ++attempt) {
        BOOST_OUTCOME_TRY(tryCommit(own));
    }
    if (!own.isCommitted)
        return own.failure(
            { state_errc::Unavailable, "change log", "gave up after too many failed attempts to commit" });
    writeSnapshotIfDue();
    return own.change;
}

state_result<std::optional<configuration_change>> change_log::readChange(config_version version) const
{
    BOOST_OUTCOME_TRY(const std::optional<table_row> row, m_table.readRow(rowKey(version)));
    if (!row)
        return std::nullopt;
    BOOST_OUTCOME_TRY(configuration_change change, parseRow(*row, version));
    return std::optional(std::move(change));
}

state_result<bool> change_log::hasLost(const configuration_change& committed) const
{
    BOOST_OUTCOME_TRY(const std::optional<configuration_change> found, readChange(committed.version));
    if (!found)
        return true;
    if (found->token != committed.token)
        return state_error { state_errc::Conflict, rowKey(committed.version),
            "the table has lost this change and accepted another one of \"" + found->author + "\" under its version" };
    return false;
}

state_result<void> change_log::rewriteLost(const std::vector<configuration_change>& committed) const
{
    std::size_t kept = committed.size();
    bool isLost = true;
    while (kept > 0 && isLost) {
        BOOST_OUTCOME_TRY(isLost, hasLost(committed[kept - 1]));
        kept -= isLost ? 1 : 0;
    }
    if (kept == committed.size())
        return boost::outcome_v2::success();
    const config_version previous(committed[kept].version.value() - 1);
    if (kept == 0 && previous != config_version()) {
        BOOST_OUTCOME_TRY(const std::optional<configuration_change> found, readChange(previous));
        if (!found)
            return state_error { state_errc::Invalid, rowKey(previous), "the table has lost this change, which is not known here" };
    }
    table_transaction transaction;
    for (std::size_t index = kept; index < committed.size(); ++index) {
        const std::string key = rowKey(committed[index].version);
        transaction.conditions.push_back({ key, row_revision() });
        transaction.puts.emplace_back(key, changeToText(committed[index]));
    }
    const auto written = m_table.transact(transaction);
    // A concurrent writer has written some of these rows; the next call shows which changes they hold.
    if (!written && written.error().code != state_errc::Conflict)
        return written.error();
    return boost::outcome_v2::success();
}

std::optional<configuration_change> change_log::findConflictingChange(const entity_update& update) const
{
    if (const std::optional<entity> existing = findEntity(m_current, update.kind, update.id)) {
        const auto change = readChange(changedAt(*existing));
        return change ? change.value() : std::nullopt;
    }
    // The entity was removed; only the rows after the base tell which change removed it.
    std::optional<configuration_change> conflicting;
    config_version position = update.base;
    while (position < m_current.version) {
        const auto changes = readAfter(position);
        if (!changes || changes.value().empty())
            return conflicting;
        for (const configuration_change& change : changes.value()) {
            if (updatesEntity(change, update))
                conflicting = change;
        }
        position = changes.value().back().version;
    }
    return conflicting;
}

state_error change_log::describeConflict(const configuration_change& own, const state_error& conflict) const
{
    for (const entity_update& update : own.updates) {
        if (!isStale(m_current, update))
            continue;
        const std::optional<configuration_change> conflicting = findConflictingChange(update);
        if (!conflicting)
            return conflict;
        return { state_errc::Conflict, describeEntity(update),
            "changed by change " + std::to_string(conflicting->version.value()) + " of \"" + conflicting->author
                + "\" after change " + std::to_string(update.base.value()) + ", which this change is based on" };
    }
    return conflict;
}

void change_log::writeSnapshotIfDue()
{
    if (m_current.version.value() < m_snapshotVersion.value() + m_settings.changesPerSnapshot)
        return;
    // A failed write of a snapshot only makes later loads slower; the next append retries it.
    if (m_table.putObject(snapshotKey, snapshotToText(m_current)))
        m_snapshotVersion = m_current.version;
}

}
