#pragma once

#include "serving/caller_limits.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace sardinelb {

struct http_request_message;

// The server side of one HTTP/1.1 connection. Serves one request at a time: the next one is read when the answer to the
// one before has been written. Not safe for use from several threads.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    struct hooks {
        // A whole request has arrived. The receiver answers it with answer(), or with beginStream() and what follows.
        std::function<void(const std::shared_ptr<caller_connection>&, http_request_message&&)> request;
        // A request that is not proper HTTP or breaks a limit was refused with this status.
        std::function<void(int status, const char* why)> refused;
        // The connection has ended.
        std::function<void(caller_connection*)> closed;
    };

    caller_connection(boost::asio::ip::tcp::socket, caller_limits, std::shared_ptr<const hooks>);
    ~caller_connection();

    void start();

    // Called once if the caller closes the connection while a request is being served. Cleared by the end of the answer.
    void setCallerLeft(std::function<void()>);

    // Answers with a whole body. `fields` are header lines, each with its line end.
    void answer(int status, std::string_view fields, std::string_view body);

    // Begins an answer whose parts are passed on as they come.
    void beginStream(int status, std::string_view fields);
    void sendPart(std::string_view part);
    void endStream();

    // Ends the connection in the middle of an answer, so that the answer does not look complete.
    void breakOff();

    // Announces with the next answer that the connection closes. Closes at once if no request is being read or served.
    void closeAfterAnswer();

    // Bytes that the caller has not taken yet.
    std::size_t unsentBytes() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

}
