#include "coordination/leases/order_kind.h"

namespace sardinelb {

const char* toString(order_kind kind)
{
    switch (kind) {
    case order_kind::LoadModel:
        return "load-model";
    case order_kind::UnloadModel:
        return "unload-model";
    case order_kind::SetRole:
        return "set-role";
    case order_kind::LoadAdapter:
        return "load-adapter";
    case order_kind::UnloadAdapter:
        return "unload-adapter";
    case order_kind::LoadVersion:
        return "load-version";
    case order_kind::UnloadVersion:
        return "unload-version";
    }
    return "invalid";
}

}
