#pragma once

#include "coordination/attempt_id.h"
#include "coordination/refusal_reason.h"
#include "coordination/routing/load_report.h"

namespace sardinelb {

// Answers a submit. A refusal means that the attempt was not run and will not be; it may follow an acceptance while the
// attempt is queued.
struct admission_message {
    attempt_id attempt;
    refusal_reason refusal = refusal_reason::None;
    load_report load;
};

}
