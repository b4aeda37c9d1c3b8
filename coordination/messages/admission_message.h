#pragma once

#include "coordination/attempt_id.h"
#include "coordination/refusal_reason.h"
#include "coordination/routing/load_report.h"

namespace sardinelb {

// Reply to a submit. A refused attempt has not run and will not run. An accepted attempt may still be refused while it
// is queued.
struct admission_message {
    attempt_id attempt;
    refusal_reason refusal = refusal_reason::None;
    load_report load;
};

}
