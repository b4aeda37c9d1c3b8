#include "coordination/spread/spread_peers.h"

namespace sardinelb {

std::vector<spread_peer> spreadPeersOf(const std::vector<member_view>& members)
{
    std::vector<spread_peer> peers;
    for (const member_view& member : members) {
        if (member.state != member_state::Dead)
            peers.push_back({ member.daemon, member.zone });
    }
    return peers;
}

}
