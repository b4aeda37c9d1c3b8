#pragma once

#include "coordination/queueing/team_share.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace sardinelb {

// Weighted fair queueing between teams. Virtual time advances with the work started, divided by the weight of the teams
// that have work; a team's tag advances with the team's own work, divided by the team's weight. A team whose tag is
// ahead of virtual time has got, or asks for, more than its share. Costs are in tokens.
class fair_share {
public:
    // Notes a new attempt of the team. One that is refused counts as demand all the same; left() follows at once. The
    // reference is valid until left() has been called for each of the team's attempts.
    team_share& asked(const team_id&, double weight, double cost, time_point now);

    // Notes that a waiting attempt of this cost has been given to the runner. Returns its start tag.
    double onAttemptStarted(team_share&, double cost);

    // Corrects the cost of an attempt that was started, by actual minus expected cost.
    void correct(team_share&, double difference);

    // Notes that one attempt of the team has left the queue and the runner. One call for each asked().
    void left(team_share&);

    // Begins a walk over all waiting attempts in the order of their admission.
    void beginWalk();

    // Start tag of the next waiting attempt of the walk, were the team's attempts started in order now.
    double nextStartTag(team_share&, double cost) const;

    // How far the team is ahead of its share with the attempt of this start tag, in attempts of typical cost. 0 when it
    // is not. Attempts are the unit since a small team's share of one runner is less than a single attempt at a time,
    // and its first attempt is to count as little as that of a large team.
    double attemptsAhead(const team_share&, double startTag) const;

    // How far the team's recent demand is ahead of its share, in the same unit.
    double demandAhead(const team_share&) const;

private:
    void noteDemand(team_share&, double cost, time_point now) const;
    void advance(double cost);
    void forgetIdleTeams();

    std::unordered_map<team_id, team_share> m_teams;
    double m_virtualTime = 0;
    double m_activeWeight = 0;
    std::uint64_t m_activeTeams = 0;
    double m_typicalCost = 0;
    std::uint64_t m_walk = 0;
    std::size_t m_forgetAt = 0;
};

}
