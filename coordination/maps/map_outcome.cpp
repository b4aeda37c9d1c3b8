#include "coordination/maps/map_outcome.h"

namespace sardinelb {

const char* toString(map_outcome outcome)
{
    switch (outcome) {
    case map_outcome::Commit:
        return "commit";
    case map_outcome::Abort:
        return "abort";
    }
    return "invalid";
}

}
