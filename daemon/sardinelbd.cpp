#include "daemon/agent_daemon.h"
#include "daemon/command_line.h"
#include "daemon/daemon_settings.h"
#include "daemon/entry_daemon.h"
#include "daemon/logger.h"
#include "relay/incoming_body.h"

#include <malloc.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace sardinelb {

namespace {

int toStatus(exit_code code)
{
    return static_cast<int>(code);
}

// Waits for SIGTERM or SIGINT, which every thread blocks.
void waitForStopSignal(const sigset_t& stopSignals)
{
    int received = 0;
    sigwait(&stopSignals, &received);
}

template <typename Daemon>
exit_code serve(const daemon_settings& settings, const sigset_t& stopSignals)
{
    Daemon daemon(settings);
    if (const auto started = daemon.start(); !started) {
        std::cerr << "sardinelbd: cannot listen on " << started.error().subject << ": " << started.error().detail
                  << "\n";
        return exit_code::CannotListen;
    }
    waitForStopSignal(stopSignals);
    daemon.shutDown();
    return exit_code::Success;
}

exit_code run(const command_line& arguments)
{
    std::ifstream file(arguments.configFile);
    if (!file) {
        std::cerr << "sardinelbd: cannot read " << arguments.configFile << "\n";
        return exit_code::BadSettings;
    }
    std::stringstream text;
    text << file.rdbuf();
    const auto settings = parseDaemonSettings(text.str(), arguments.configFile);
    if (!settings) {
        for (const document_fault& fault : settings.error())
            std::cerr << "sardinelbd: " << describe(fault) << "\n";
        return exit_code::BadSettings;
    }
    if (arguments.checkOnly) {
        std::cout << arguments.configFile << ": settings are valid\n";
        return exit_code::Success;
    }
    sigset_t stopSignals;
    sigemptyset(&stopSignals);
    sigaddset(&stopSignals, SIGTERM);
    sigaddset(&stopSignals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stopSignals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    if (!startLogging(arguments.logLevel)) {
        std::cerr << "sardinelbd: --log-level: \"" << arguments.logLevel
                  << "\" must be trace, debug, info, warn or error\n";
        return exit_code::Usage;
    }
    const exit_code code = settings.value().role == daemon_role::Entry
        ? serve<entry_daemon>(settings.value(), stopSignals)
        : serve<agent_daemon>(settings.value(), stopSignals);
    logInfo("peer", {}, "Stopped.");
    stopLogging();
    return code;
}

int main(int argc, char** argv)
{
    const command_line arguments = parseCommandLine(argc, argv);
    if (!arguments.error.empty()) {
        std::cerr << "sardinelbd: " << arguments.error << "\n";
        return toStatus(exit_code::Usage);
    }
    if (arguments.showHelp || arguments.showVersion) {
        std::cout << (arguments.showHelp ? helpText() : std::string("sardinelbd 0.1.0\n"));
        return toStatus(exit_code::Success);
    }
    // Otherwise the allocator raises the threshold with each large buffer that is freed, and keeps later ones.
    mallopt(M_MMAP_THRESHOLD, static_cast<int>(mappedBufferBytes));
    return toStatus(run(arguments));
}

}

}

int main(int argc, char** argv)
{
    return sardinelb::main(argc, argv);
}
