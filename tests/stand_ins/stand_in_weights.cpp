#include "state/name_digest.h"
#include "tests/stand_ins/command_line.h"
#include "tests/stand_ins/event_loop.h"
#include "tests/stand_ins/fault_middleware.h"
#include "tests/stand_ins/guarded_main.h"
#include "tests/stand_ins/http_exchange.h"
#include "tests/stand_ins/json_fields.h"
#include "tests/stand_ins/server_options.h"
#include "tests/stand_ins/transfer_pacer.h"

#include <algorithm>
#include <stdexcept>

namespace sardinelb::stand_ins {

namespace {

// A transfer is sent in chunks of 10 ms at the configured rate, within these bounds.
constexpr double chunksPerSecond = 100;
constexpr std::uint64_t minChunkBytes = 1ULL << 10;
constexpr std::uint64_t maxChunkBytes = 1ULL << 20;

struct weights_options {
    server_options server;
    double bytesPerSecond = 50e6;
    std::uint64_t weightBytes = 1ULL << 20;
};

std::uint64_t chunkBytes(double bytesPerSecond)
{
    const auto bytes = static_cast<std::uint64_t>(bytesPerSecond / chunksPerSecond);
    return std::clamp(bytes, minChunkBytes, maxChunkBytes);
}

// Fake weight store, served over HTTP.
class weights_program {
public:
    weights_program(event_loop& loop, const weights_options& options)
        : m_loop(loop)
        , m_faults(loop, options.server.seed, {})
        , m_pacer(options.bytesPerSecond)
        , m_chunkBytes(chunkBytes(options.bytesPerSecond))
        , m_weightBytes(options.weightBytes)
    {
    }

    http_handler handler()
    {
        return m_faults.wrap([this](const std::shared_ptr<http_exchange>& exchange) { serve(exchange); });
    }

private:
    // A response in progress.
    struct transfer {
        std::shared_ptr<http_exchange> exchange;
        std::uint64_t remaining;
        char filler;
        bool stopped = false;
    };

    void serve(const std::shared_ptr<http_exchange>& exchange)
    {
        const auto target = exchange->request().method + " " + exchange->request().path;
        if (target == "GET /v1/weights")
            startTransfer(exchange);
        else if (target == "GET /admin/counts")
            exchange->respond(200, toText({ { "bytes_sent", m_bytesSent } }));
        else
            exchange->respond(404, errorBody("unknown path or method"));
    }

    void startTransfer(const std::shared_ptr<http_exchange>& exchange)
    {
        const auto key = exchange->request().query.find("key");
        if (key == exchange->request().query.end())
            throw std::invalid_argument("parameter 'key' is missing");
        constexpr std::uint64_t letterCount = 26;
        const auto filler = static_cast<char>('a' + static_cast<char>(nameDigest(key->second) % letterCount));
        auto started = std::make_shared<transfer>(transfer { exchange, m_weightBytes, filler });
        exchange->startStream("application/octet-stream");
        exchange->setDisconnectCallback([started] { started->stopped = true; });
        sendNext(started);
    }

    void sendNext(const std::shared_ptr<transfer>& current)
    {
        if (current->stopped)
            return;
        if (current->remaining == 0) {
            current->exchange->endStream();
            return;
        }
        const auto bytes = std::min(m_chunkBytes, current->remaining);
        m_loop.callAt(m_pacer.reserve(bytes, m_loop.now()), [this, current, bytes] {
            current->exchange->write(std::string(bytes, current->filler));
            current->remaining -= bytes;
            m_bytesSent += bytes;
            sendNext(current);
        });
    }

    event_loop& m_loop;
    fault_middleware m_faults;
    transfer_pacer m_pacer;
    std::uint64_t m_chunkBytes;
    std::uint64_t m_weightBytes;
    std::uint64_t m_bytesSent = 0;
};

void runWeights(int argc, char** argv)
{
    weights_options options;
    command_line line("stand_in_weights");
    addServerOptions(line, options.server);
    line.add("bytes-per-second", "total rate of all transfers", options.bytesPerSecond);
    line.add("weight-bytes", "size of every weight", options.weightBytes);
    line.parse(argc, argv);
    if (options.bytesPerSecond <= 0)
        throw std::invalid_argument("--bytes-per-second must be above 0");

    event_loop loop;
    weights_program program(loop, options);
    serveHttp(loop, static_cast<std::uint16_t>(options.server.port), program.handler());
    loop.run();
}

}

}

int main(int argc, char** argv)
{
    return sardinelb::stand_ins::guardedMain([&] { sardinelb::stand_ins::runWeights(argc, argv); });
}
