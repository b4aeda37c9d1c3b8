#include "coordination/leases/runner_order.h"

namespace sardinelb {

std::string describe(const runner_order& order)
{
    return std::string(toString(order.kind)) + " " + order.subject + " on " + order.runner.value() + " (order "
        + std::to_string(order.sequence) + ", fencing number " + std::to_string(order.number.value()) + ")";
}

}
