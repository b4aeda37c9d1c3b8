#pragma once

#include "coordination/attempt_id.h"
#include "coordination/queueing/queue_action.h"
#include "coordination/queueing/queue_settings.h"
#include "coordination/queueing/queued_request.h"
#include "coordination/refusal_reason.h"
#include "state/time.h"
#include "state/units.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace sardinelb {

// Orders the attempts of one runner: which to start, pause, resume or refuse, and when. Short work does not wait
// behind long work, teams share by weight, and long work is not starved. Pure state machine; not safe for use from
// several threads.
class request_queue {
public:
    explicit request_queue(queue_settings);
    ~request_queue();
    request_queue(request_queue&&) noexcept;
    request_queue& operator=(request_queue&&) noexcept;

    // Takes the attempt into the queue, or returns why it is refused. Call poll() afterwards.
    refusal_reason admit(const queued_request&, time_point now);

    // Returns what has to be done now. The caller does all of it, in order.
    std::vector<queue_action> poll(time_point now);

    // Time at which poll() must be called again if nothing else happens.
    std::optional<time_point> nextDeadline() const;

    // Records that the runner generated tokens for the attempt.
    void onAttemptProgress(const attempt_id&, token_count tokens, time_point now);

    // Records that the runner has finished or given up the attempt.
    void onAttemptFinished(const attempt_id&, time_point now);

    // Removes an attempt that is waiting and was never dispatched. Returns false when there is none.
    bool remove(const attempt_id&);

    std::uint32_t queued() const;
    std::uint32_t running() const;
    // Expected tokens still to be generated, queued, paused and running together.
    token_count backlog() const;
    // Time between two tokens of one stream, learned from progress.
    duration tokenInterval() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

}
