#pragma once

namespace sardinelb {

// What an order asks of a runner. Each kind names a desired state, so that an order can be repeated.
enum class order_kind {
    LoadModel,
    UnloadModel,
    SetRole,
    LoadAdapter,
    UnloadAdapter,
    LoadVersion,
    UnloadVersion,
};

// Name in rows and logs, as in "load-model".
const char* toString(order_kind);

}
