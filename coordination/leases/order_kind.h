#pragma once

namespace sardinelb {

// What an order asks of a runner. Each kind describes a desired state, so orders are idempotent.
enum class order_kind {
    LoadModel,
    UnloadModel,
    SetRole,
    LoadAdapter,
    UnloadAdapter,
    LoadVersion,
    UnloadVersion,
};

// Name in rows and logs, such as "load-model".
const char* toString(order_kind);

}
