#include "coordination/spread/poller_selection.h"

#include "state/name_digest.h"

#include <utility>

namespace sardinelb {

namespace {

using poller_score = std::pair<std::uint64_t, std::string>;

poller_score scoreOf(const daemon_id& daemon, const availability_zone_id& zone)
{
    return { nameDigest(daemon.value(), nameDigest(zone.value())), daemon.value() };
}

}

bool isPollerOf(const availability_zone_id& zone, const daemon_id& self, const std::vector<spread_peer>& peers,
    std::size_t pollers)
{
    const poller_score own = scoreOf(self, zone);
    std::size_t ahead = 0;
    for (const spread_peer& peer : peers) {
        if (peer.zone == zone && peer.daemon != self && scoreOf(peer.daemon, zone) > own)
            ++ahead;
    }
    return ahead < pollers;
}

}
