#include "serving/list_reconciliation.h"

namespace sardinelb {

list_action reconcile(const list_version& own, const list_version& peer)
{
    if (peer.revision < own.revision)
        return list_action::None;
    if (peer.revision.epoch > own.revision.epoch)
        return list_action::ReadFromPeer;
    const bool isSameList = peer.digest == own.digest;
    if (isSameList && !own.hasPendingExpiry)
        return list_action::Confirm;
    if (peer.revision > own.revision)
        return list_action::ReadFromPeer;
    return isSameList ? list_action::None : list_action::ReadFromStore;
}

}
