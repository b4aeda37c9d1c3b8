#pragma once

#include "coordination/entry/answer_end_action.h"
#include "coordination/entry/answer_part_action.h"
#include "coordination/entry/caller_error.h"
#include "coordination/entry/caller_request.h"
#include "daemon/directory.h"
#include "state/ids.h"
#include "state/units.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace sardinelb {

class caller_session;
class http_exchange;
class metrics;
struct protocol_error;

// The callers' HTTP interface of an entry. Turns requests into caller_request values and answers into HTTP. Runs on the
// net thread.
class caller_api {
public:
    struct hooks {
        // Returns false when the request could not be taken because the decision thread is behind.
        std::function<bool(caller_request)> onRequest;
        std::function<void(const request_id&)> onCallerGone;
        std::function<void(const request_id&, byte_count)> onCallerRead;
    };

    // Request ids begin with `idPrefix`.
    caller_api(std::string idPrefix, metrics&, hooks);
    ~caller_api();

    void setDirectory(std::shared_ptr<const directory>);
    void setReady(bool);

    // Handles one HTTP request.
    void handle(const std::shared_ptr<http_exchange>&);

    // Answers for a request that `arrived` was called with.
    void sendPart(const answer_part_action&);
    void sendEnd(const answer_end_action&);
    void sendError(const request_id&, const caller_error&);

    // Requests whose answer has not ended.
    std::size_t openRequests() const;

private:
    void handleChat(const std::shared_ptr<http_exchange>&, const team_id&);
    void handleService(const std::shared_ptr<http_exchange>&, const team_id&);
    void start(const std::shared_ptr<http_exchange>&, caller_request, std::string modelName, bool stream);
    caller_request requestFor(const http_exchange&, const team_id&);
    void refuse(http_exchange&, const protocol_error&);
    void refuse(http_exchange&, const request_id&, const caller_error&);
    request_id nextId();

    std::string m_idPrefix;
    metrics& m_metrics;
    hooks m_hooks;
    std::shared_ptr<const directory> m_directory;
    bool m_isReady = false;
    std::uint64_t m_lastRequestNumber = 0;
    std::unordered_map<request_id, std::shared_ptr<caller_session>> m_sessions;
};

}
