#pragma once

namespace sardinelb {

// Part of the demand for a runner that comes from one of the entries that follow it, from 0 to 1, and the sum of the parts of those
// that precede it in the runner's order of its followers.
struct follower_share {
    double own = 1;
    double preceding = 0;
};

}
