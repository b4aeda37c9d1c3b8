#include "coordination/membership/member_state.h"

namespace sardinelb {

const char* toString(member_state state)
{
    switch (state) {
    case member_state::Listed:
        return "listed";
    case member_state::Live:
        return "live";
    case member_state::Slow:
        return "slow";
    case member_state::Silent:
        return "silent";
    case member_state::Partitioned:
        return "partitioned";
    case member_state::Dead:
        return "dead";
    case member_state::Leaving:
        return "leaving";
    }
    return "invalid";
}

}
