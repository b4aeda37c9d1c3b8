#include "expert_map/arm_witness.h"

namespace sardinelb {

void arm_witness::onStatus(const rank_status& status)
{
    if (m_isStarted && status.epoch == m_epoch)
        return;
    // A group that forms anew has nothing armed.
    m_unknownStep = m_isStarted ? std::nullopt : status.held;
    m_isStarted = true;
    m_epoch = status.epoch;
    m_sent.clear();
    m_sealed.clear();
}

bool arm_witness::mayArm(step_number step, map_version version) const
{
    const auto sent = m_sent.find(step);
    return m_isStarted && !m_sealed.contains(step) && (sent == m_sent.end() || sent->second.version == version);
}

void arm_witness::onArmSent(step_number step, map_version version)
{
    m_sent.try_emplace(step, sent_order { version, false });
}

void arm_witness::onArmed(step_number step, map_version version)
{
    const auto sent = m_sent.find(step);
    if (sent != m_sent.end() && sent->second.version == version)
        sent->second.isConfirmed = true;
}

bool arm_witness::isArmed(step_number step, map_version version) const
{
    const auto sent = m_sent.find(step);
    return sent != m_sent.end() && sent->second.version == version && sent->second.isConfirmed;
}

std::optional<bool> arm_witness::seal(step_number step)
{
    if (m_sent.contains(step))
        return false;
    if (!m_isStarted || m_unknownStep == step)
        return std::nullopt;
    m_sealed.insert(step);
    return true;
}

}
