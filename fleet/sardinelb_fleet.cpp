#include "fleet/agent_process.h"
#include "fleet/entry_process.h"
#include "fleet/event_log.h"
#include "platform/names.h"
#include "platform/settings.h"
#include "relay/incoming_body.h"

#include <malloc.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <string>

namespace {

using sardinelb::event_log;
using sardinelb::platform::settings;

// Handles signals until the process ends. SIGHUP only validates the settings file; changes take effect at the next start.
void watchSignals(boost::asio::signal_set& signals, event_log& log, const std::string& path, const std::function<void()>& stop)
{
    signals.async_wait([&signals, &log, path, stop](const boost::system::error_code& error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP) {
            std::string problem;
            const bool isReadable = sardinelb::platform::readSettings(path, problem).has_value();
            log.write("reload", { { "readable", isReadable }, { "problem", problem } });
        } else {
            stop();
        }
        watchSignals(signals, log, path, stop);
    });
}

template <typename Process>
int run(const settings& options, const std::string& role, const std::string& path)
{
    boost::asio::io_context context(1);
    event_log log(options.daemon.value());
    log.write("start", { { "role", role }, { "zone", options.zone.value() }, { "callers", options.callerAddress }, { "runner", options.runnerAddress } });
    Process process(context, options, log);
    if (!process.start())
        return EXIT_FAILURE;
    boost::asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
    watchSignals(signals, log, path, [&process] { process.stop(); });
    context.run();
    return EXIT_SUCCESS;
}

}

int main(int argc, char** argv)
{
    const char* path = std::getenv(sardinelb::platform::settingsVariable);
    if (argc != 2 || !path) {
        std::cerr << "usage: " << sardinelb::platform::settingsVariable << "=FILE sardinelb-fleet entry|agent\n";
        return EXIT_FAILURE;
    }
    std::string problem;
    const auto options = sardinelb::platform::readSettings(path, problem);
    if (!options) {
        std::cerr << "sardinelb-fleet: " << problem << "\n";
        return EXIT_FAILURE;
    }
    const std::string role = argv[1];
    // Otherwise the allocator raises the threshold with each large buffer that is freed, and keeps later ones.
    mallopt(M_MMAP_THRESHOLD, static_cast<int>(sardinelb::mappedBufferBytes));
    std::signal(SIGPIPE, SIG_IGN);
    if (role == "entry")
        return run<sardinelb::entry_process>(*options, role, path);
    if (role == "agent")
        return run<sardinelb::agent_process>(*options, role, path);
    std::cerr << "sardinelb-fleet: unknown role '" << role << "'; must be entry or agent\n";
    return EXIT_FAILURE;
}
