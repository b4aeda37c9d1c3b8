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

// Caller HTTP API of an entry. Converts HTTP requests to caller_request values and answers to HTTP responses. Runs on
// the network thread.
class caller_api {
public:
    struct hooks {
        // Returns false if the request was not accepted because the queue of the decision thread is full.
        std::function<bool(caller_request)> onRequest;
        std::function<void(const request_id&)> onCallerDisconnected;
        std::function<void(const request_id&, byte_count)> onCallerRead;
        // The caller got an error in place of the answer, which was too long to buffer; its request is to be cancelled.
        std::function<void(const request_id&)> onAnswerTooLong;
    };

    // `idPrefix` is the prefix of all request ids. Text of answers that are not streamed is buffered until their end, at most
    // `maxBufferedBytes` of all together; beyond that, the longest answer ends with an error.
    caller_api(std::string idPrefix, std::size_t maxBufferedBytes, metrics&, hooks);
    ~caller_api();

    void setDirectory(std::shared_ptr<const directory>);
    void setReady(bool);

    void handle(const std::shared_ptr<http_exchange>&);

    // Answer to a request that was passed to `onRequest`.
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
    void reject(http_exchange&, const protocol_error&);
    void reject(http_exchange&, const request_id&, const caller_error&);
    request_id nextId();
    void buffer(const request_id&, std::size_t bytes);
    void endLongestAnswer();
    // Returns the session, which no longer counts, or null if there is none.
    std::shared_ptr<caller_session> takeSession(const request_id&);

    std::string m_idPrefix;
    std::size_t m_maxBufferedBytes;
    metrics& m_metrics;
    hooks m_hooks;
    std::shared_ptr<const directory> m_directory;
    bool m_isReady = false;
    std::uint64_t m_lastRequestNumber = 0;
    std::unordered_map<request_id, std::shared_ptr<caller_session>> m_sessions;
    // Over all sessions.
    std::size_t m_bufferedBytes = 0;
};

}
