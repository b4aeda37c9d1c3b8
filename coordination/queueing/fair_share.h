#pragma once

#include "coordination/queueing/team_share.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace sardinelb {

// Weighted fair queueing between teams. Virtual time advances by the cost of started work divided by the total weight
// of the active teams; a team's finish tag advances by the cost of the team's own work divided by the team's weight. A
// team whose tag is ahead of virtual time has received, or demands, more than its share. Costs are in tokens.
class fair_share {
public:
    // Records a new attempt of the team. A refused attempt counts as demand, too; call onAttemptLeft() for it right
    // away. The reference is valid until onAttemptLeft() has been called for each of the team's attempts.
    team_share& onAttemptArrived(const team_id&, double weight, double cost, time_point now);

    // Records that a waiting attempt of this cost was dispatched to the runner. Returns its start tag.
    double onAttemptStarted(team_share&, double cost);

    // Corrects the cost of a started attempt by the difference of actual and expected cost.
    void correctCost(team_share&, double difference);

    // Records that an attempt of the team has left the queue and the runner. Called once for each onAttemptArrived().
    void onAttemptLeft(team_share&);

    // Begins a pass over all waiting attempts in order of admission.
    void beginTagPass();

    // Start tag that the next waiting attempt of the pass would get if the team's attempts were started in order now.
    double nextStartTag(team_share&, double cost) const;

    // How far an attempt with this start tag puts the team ahead of its share, in attempts of typical cost; 0 if the
    // team is within its share. The unit is attempts because a small team's share of one runner is less than one
    // attempt at a time, and its first attempt must count as little as that of a large team.
    double attemptsAhead(const team_share&, double startTag) const;

    // How far the team's recent demand is ahead of its share, in attempts of typical cost.
    double demandAhead(const team_share&) const;

private:
    void recordDemand(team_share&, double cost, time_point now) const;
    void advanceVirtualTime(double cost);
    void removeIdleTeams();

    std::unordered_map<team_id, team_share> m_teams;
    double m_virtualTime = 0;
    double m_activeWeight = 0;
    std::uint64_t m_activeTeams = 0;
    double m_typicalCost = 0;
    std::uint64_t m_tagPass = 0;
    std::size_t m_cleanupSize = 0;
};

}
