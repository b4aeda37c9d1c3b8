#include "serving/zone_evacuations.h"

#include <algorithm>

namespace sardinelb {

namespace {

// A store that came back from an older copy may lack what the operator wrote or removed since. What was known before counts for this
// time, in which the operator can write it again.
constexpr duration retentionAfterRestore = std::chrono::seconds(30);

}

bool zone_evacuations::onSnapshot(const std::vector<change>& rows, store_revision asOf, time_point now)
{
    if (asOf <= m_asOf)
        return false;
    const auto before = zones();
    row_map all;
    for (const change& row : rows) {
        if (!row.isRemoved)
            all[row.zone] = { asOf.epoch, row.revision };
    }
    replaceRows(all, asOf, now);
    return zones() != before;
}

bool zone_evacuations::onView(const zone_evacuation_view& view, time_point now)
{
    const bool isKnown = view.asOf.revision != row_revision {};
    if (!isKnown || view.asOf.epoch < m_asOf.epoch)
        return false;
    const auto before = zones();
    if (view.asOf > m_asOf) {
        row_map all;
        for (const auto& entry : view.zones) {
            if (!entry.timeLeft)
                all[entry.zone] = entry.writtenAt;
        }
        replaceRows(all, view.asOf, now);
    }
    for (const auto& entry : view.removals) {
        // What is known from an older epoch counts for the retention time of this entry, even if another one counts it longer.
        if (entry.removedAt.epoch == m_asOf.epoch || now < m_retentionEndsAt)
            removeRow(entry.zone, { entry.removedAt, entry.row });
    }
    for (const auto& entry : view.zones) {
        if (entry.timeLeft)
            addRetained(entry, now);
    }
    return zones() != before;
}

bool zone_evacuations::onChanges(const std::vector<change>& changes, store_revision base, store_revision asOf)
{
    if (asOf <= m_asOf)
        return false;
    const auto before = zones();
    for (const change& row : changes) {
        const store_revision changedAt { asOf.epoch, row.revision };
        if (changedAt <= m_asOf)
            continue;
        if (row.isRemoved)
            removeRow(row.zone, { changedAt, {} });
        else
            addRow(row.zone, changedAt);
    }
    if (isCompleteUpTo(base) && base.epoch == asOf.epoch)
        m_asOf = asOf;
    return zones() != before;
}

void zone_evacuations::replaceRows(const row_map& rows, store_revision asOf, time_point now)
{
    if (m_asOf == store_revision {} || asOf.epoch > m_asOf.epoch)
        m_retentionEndsAt = now + retentionAfterRestore;
    const row_map known = m_rows;
    for (const auto& [zone, writtenAt] : known) {
        // Changes that are newer than this view stay.
        if (rows.contains(zone) || writtenAt > asOf)
            continue;
        if (writtenAt.epoch == asOf.epoch) {
            removeRow(zone, { asOf, writtenAt.revision });
            continue;
        }
        if (!isResurrected(zone, writtenAt))
            m_retained[zone] = { writtenAt, m_retentionEndsAt };
        m_rows.erase(zone);
    }
    for (const auto& [zone, writtenAt] : rows)
        addRow(zone, writtenAt);
    m_asOf = asOf;
}

void zone_evacuations::addRow(const availability_zone_id& zone, store_revision writtenAt)
{
    const auto removed = m_removals.find(zone);
    if (removed != m_removals.end() && removed->second.removedAt >= writtenAt)
        return;
    const auto known = m_rows.find(zone);
    if (known == m_rows.end() && m_rows.size() >= maxZones)
        return;
    if (known == m_rows.end() || known->second < writtenAt)
        m_rows[zone] = writtenAt;
    m_retained.erase(zone);
    if (!isResurrected(zone, m_rows.at(zone)))
        m_removals.erase(zone);
}

void zone_evacuations::removeRow(const availability_zone_id& zone, const removal& statement)
{
    removal removed = statement;
    const auto known = m_rows.find(zone);
    if (known != m_rows.end() && known->second > statement.removedAt) {
        // The row is newer, unless it is the removed one, which a restore has brought back.
        if (known->second.epoch == statement.removedAt.epoch || known->second.revision != statement.row)
            return;
    } else if (known != m_rows.end()) {
        removed.row = known->second.revision;
        m_rows.erase(known);
    }
    const auto retained = m_retained.find(zone);
    if (retained != m_retained.end() && retained->second.writtenAt < statement.removedAt)
        m_retained.erase(retained);
    const auto earlier = m_removals.find(zone);
    if (earlier == m_removals.end() || earlier->second.removedAt < removed.removedAt)
        m_removals[zone] = removed;
    if (m_removals.size() > maxZones)
        m_removals.erase(std::min_element(m_removals.begin(), m_removals.end(), [](const auto& a, const auto& b) { return a.second.removedAt < b.second.removedAt; }));
}

void zone_evacuations::addRetained(const zone_evacuation_view::zone_entry& entry, time_point now)
{
    // An entry that has long known this epoch has had the zone for as long as it counts, or has seen it taken back.
    const time_point endsAt = std::min(m_retentionEndsAt, now + *entry.timeLeft);
    const auto removed = m_removals.find(entry.zone);
    const bool isRemoved = removed != m_removals.end() && removed->second.removedAt > entry.writtenAt;
    if (endsAt <= now || isRemoved || m_rows.contains(entry.zone) || m_retained.size() >= maxZones)
        return;
    m_retained.try_emplace(entry.zone, retained_zone { entry.writtenAt, endsAt });
}

bool zone_evacuations::isResurrected(const availability_zone_id& zone, store_revision writtenAt) const
{
    // A copy keeps the revisions of its rows. A row that was written after the restore has another one, even if a lower one.
    const auto removed = m_removals.find(zone);
    return removed != m_removals.end() && removed->second.removedAt.epoch < writtenAt.epoch && removed->second.row == writtenAt.revision;
}

bool zone_evacuations::removeExpired(time_point now)
{
    const auto before = zones();
    std::erase_if(m_retained, [&](const auto& entry) { return now >= entry.second.endsAt; });
    if (now >= m_retentionEndsAt)
        std::erase_if(m_removals, [&](const auto& entry) { return entry.second.removedAt.epoch < m_asOf.epoch; });
    return zones() != before;
}

bool zone_evacuations::isEvacuated(const availability_zone_id& zone) const
{
    const auto row = m_rows.find(zone);
    return m_retained.contains(zone) || (row != m_rows.end() && !isResurrected(zone, row->second));
}

std::unordered_set<availability_zone_id> zone_evacuations::zones() const
{
    std::unordered_set<availability_zone_id> zones;
    for (const auto& [zone, retained] : m_retained)
        zones.insert(zone);
    for (const auto& [zone, writtenAt] : m_rows) {
        if (!isResurrected(zone, writtenAt))
            zones.insert(zone);
    }
    return zones;
}

zone_evacuation_view zone_evacuations::view(time_point now) const
{
    zone_evacuation_view view { m_asOf, {}, {} };
    for (const auto& [zone, writtenAt] : m_rows)
        view.zones.push_back({ zone, writtenAt, std::nullopt });
    for (const auto& [zone, retained] : m_retained)
        view.zones.push_back({ zone, retained.writtenAt, std::max(duration {}, retained.endsAt - now) });
    for (const auto& [zone, removed] : m_removals)
        view.removals.push_back({ zone, removed.removedAt, removed.row });
    return view;
}

}
