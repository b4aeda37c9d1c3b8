#include "cli/connect_services.h"
#include "cli/run.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <iostream>

namespace {

std::function<void(const std::string&)> openLog(const std::string& level)
{
    using namespace log4cxx;
    const LayoutPtr layout = std::make_shared<PatternLayout>("%d{ISO8601} %p %m%n");
    BasicConfigurator::configure(std::make_shared<ConsoleAppender>(layout, ConsoleAppender::getSystemErr()));
    const LoggerPtr logger = Logger::getRootLogger();
    logger->setLevel(Level::toLevel(level));
    return [logger](const std::string& line) { LOG4CXX_DEBUG(logger, line); };
}

}

int main(int argc, char** argv)
{
    return sardinelb::run(argc, argv, { std::cout, std::cerr, sardinelb::connectServices, openLog });
}
