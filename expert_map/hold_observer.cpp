#include "expert_map/hold_observer.h"

namespace sardinelb {

std::optional<pass_hold> hold_observer::onStatus(const rank_status& status)
{
    std::optional<pass_hold> ended;
    const bool isSameHold = m_hold && status.epoch == m_hold->epoch && status.held == m_hold->step;
    if (m_hold && !isSameHold) {
        pass_hold hold;
        hold.step = m_hold->step;
        hold.isOwn = m_ownStep == m_hold->step;
        if (status.epoch != m_hold->epoch)
            hold.endedBy = pass_hold::end::GroupReformed;
        else if (status.armed || status.map != m_hold->map)
            hold.endedBy = pass_hold::end::Switched;
        hold.held = status.receivedAt - m_hold->beganAt;
        if (m_hold->waitedSince)
            hold.waited = status.receivedAt - *m_hold->waitedSince;
        ended = hold;
        m_hold.reset();
    }
    if (status.held && !m_hold)
        m_hold = current_hold { *status.held, status.epoch, status.map, status.receivedAt, std::nullopt };
    const bool isWaiting = m_hold && status.step.value() + 1 >= m_hold->step.value();
    if (isWaiting && !m_hold->waitedSince)
        m_hold->waitedSince = status.receivedAt;
    return ended;
}

}
