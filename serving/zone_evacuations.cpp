#include "serving/zone_evacuations.h"

#include <algorithm>

namespace sardinelb {

namespace {

// A store that came back from an older copy may lack the operator's row. The zone stays evacuated for this time, in which the
// operator can write it again.
constexpr duration retentionAfterRestore = std::chrono::seconds(30);

}

bool zone_evacuations::onSnapshot(const std::vector<change>& rows, store_revision asOf, time_point now)
{
    if (asOf <= m_asOf)
        return false;
    evacuation_map zones;
    for (const change& row : rows) {
        if (!row.isRemoved)
            zones[row.zone] = { { asOf.epoch, row.revision }, std::nullopt };
    }
    return replace(std::move(zones), asOf, now);
}

bool zone_evacuations::onView(const zone_evacuation_view& view, time_point now)
{
    if (view.asOf <= m_asOf)
        return false;
    evacuation_map zones;
    for (const auto& entry : view.zones) {
        const auto endsAt = entry.timeLeft ? std::optional(now + std::min(*entry.timeLeft, retentionAfterRestore)) : std::nullopt;
        zones[entry.zone] = { entry.writtenAt, endsAt };
    }
    return replace(std::move(zones), view.asOf, now);
}

bool zone_evacuations::onChanges(const std::vector<change>& changes, store_revision base, store_revision asOf, time_point now)
{
    if (asOf <= m_asOf)
        return false;
    evacuation_map zones = m_zones;
    for (const change& row : changes) {
        const store_revision writtenAt { asOf.epoch, row.revision };
        if (writtenAt <= m_asOf)
            continue;
        if (row.isRemoved)
            zones.erase(row.zone);
        else
            zones[row.zone] = { writtenAt, std::nullopt };
    }
    const bool isComplete = isCompleteUpTo(base) && base.epoch == asOf.epoch;
    return replace(std::move(zones), isComplete ? asOf : m_asOf, now);
}

bool zone_evacuations::replace(evacuation_map zones, store_revision asOf, time_point now)
{
    if (asOf.epoch > m_asOf.epoch) {
        for (const auto& [zone, known] : m_zones)
            zones.try_emplace(zone, evacuation { known.writtenAt, known.endsAt.value_or(now + retentionAfterRestore) });
    }
    const auto haveEqualKeys = [](const auto& first, const auto& second) { return first.first == second.first; };
    const bool isChanged = !std::equal(zones.begin(), zones.end(), m_zones.begin(), m_zones.end(), haveEqualKeys);
    m_zones = std::move(zones);
    m_asOf = asOf;
    return isChanged;
}

bool zone_evacuations::removeExpired(time_point now)
{
    return std::erase_if(m_zones, [&](const auto& entry) { return entry.second.endsAt && now >= *entry.second.endsAt; }) > 0;
}

std::unordered_set<availability_zone_id> zone_evacuations::zones() const
{
    std::unordered_set<availability_zone_id> zones;
    for (const auto& [zone, known] : m_zones)
        zones.insert(zone);
    return zones;
}

zone_evacuation_view zone_evacuations::view(time_point now) const
{
    zone_evacuation_view view { m_asOf, {} };
    for (const auto& [zone, known] : m_zones) {
        const auto timeLeft = known.endsAt ? std::optional(std::max(duration {}, *known.endsAt - now)) : std::nullopt;
        view.zones.push_back({ zone, known.writtenAt, timeLeft });
    }
    return view;
}

}
