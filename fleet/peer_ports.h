#pragma once

namespace sardinelb {

// Ports of the daemons, counted from the first one that the settings give to them. They are the same on all machines.
inline constexpr unsigned short entryDatagramPort = 0;
inline constexpr unsigned short agentDatagramPort = 1;
// Where an entry answers the reads of its peers.
inline constexpr unsigned short entryTablePort = 2;
// Metrics of an agent.
inline constexpr unsigned short agentStatusPort = 3;

}
