#include "serving/load_estimate.h"

#include "serving/runner_record.h"

#include <algorithm>
#include <cmath>

namespace sardinelb {

namespace {

// Bounds what one request of an entry with hardly any demand stands for.
constexpr double minShare = 1e-3;

}

double assumedLoad(const runner_record& record, const follower_share& share, duration serviceTime, time_point now)
{
    const double own = std::max(share.own, minShare);
    // An entry sends in the middle of its part of a turn.
    const double turn = share.preceding + own / 2;
    const double othersPerOwn = 1 / own - 1;
    if (!record.hasRecentLoad(now))
        return record.inFlight + (record.inFlight + turn) * othersPerOwn;
    const double reportedOthers = record.load->total > record.load->own ? record.load->total - record.load->own : 0;
    const double age = std::chrono::duration<double>(now - record.load->at).count();
    const double remaining = std::exp(-age / std::chrono::duration<double>(serviceTime).count());
    return reportedOthers * remaining + record.inFlight + (record.load->sentSince + turn) * othersPerOwn;
}

}
