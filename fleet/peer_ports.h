#pragma once

namespace sardinelb {

// Ports of the daemons, as offsets from the first peer port of the settings, which is the same on all machines.
inline constexpr unsigned short entryDatagramPortOffset = 0;
inline constexpr unsigned short agentDatagramPortOffset = 1;
// On this port an entry serves table reads of other entries.
inline constexpr unsigned short entryTablePortOffset = 2;
inline constexpr unsigned short agentMetricsPortOffset = 3;

}
