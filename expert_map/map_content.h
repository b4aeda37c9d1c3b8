#pragma once

#include "expert_map/expert_placement.h"
#include "state/ids.h"

#include <cstdint>

namespace sardinelb {

// The version number of a map that a coordinator orders carries a digest of the map's content, so that two processes that know
// the same version also know whether they mean the same map, without another field in any message. The upper bits are a sequence
// number, by which ranks and coordinators order versions. The largest version is below 2^52, so that all versions are exact as
// doubles, too; versions that only make ranks refuse older ones may exceed it.
//
// Versions below 2^24 have no digest: map 0, which the platform defines, and the maps of earlier builds.

// The largest sequence number of a map to be used. A group that forms anew starts again at 0.
inline constexpr std::uint64_t maxMapSequence = (1ULL << 28) - 1;

map_version mapVersion(std::uint64_t sequence, const expert_placement&);

std::uint64_t sequenceOf(map_version);

// Whether `placement` can be the content of the map. True for every placement if the version has no digest; otherwise a wrong
// placement passes in one of 16 million cases.
bool isContentOf(map_version, const expert_placement& placement);

// Whether the placement can be a map in use: all sets have the same experts, from 0 on without a gap, and no rank lists an expert
// twice.
bool isWholePlacement(const expert_placement&);

// Whether each expert is on one rank only, as in map 0.
bool isWithoutCopies(const expert_placement&);

}
