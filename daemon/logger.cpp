#include "daemon/logger.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace sardinelb {

namespace {

// Lines buffered for the log thread. Callers block when the buffer is full, so that no line is lost.
constexpr int maxBufferedLines = 8192;

log4cxx::LoggerPtr loggerOf(const std::string& part)
{
    return log4cxx::Logger::getLogger(part);
}

}

bool startLogging(const std::string& level)
{
    const log4cxx::LevelPtr parsed = log4cxx::Level::toLevel(level, nullptr);
    if (!parsed)
        return false;
    const auto layout = std::make_shared<log4cxx::PatternLayout>("%d{yyyy-MM-ddTHH:mm:ss.SSS} %-5p %c: %m%n");
    const auto console
        = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    const auto async = std::make_shared<log4cxx::AsyncAppender>();
    async->setBufferSize(maxBufferedLines);
    async->addAppender(console);
    const auto root = log4cxx::Logger::getRootLogger();
    root->addAppender(async);
    root->setLevel(parsed);
    return true;
}

void stopLogging()
{
    log4cxx::LogManager::shutdown();
}

void logInfo(const std::string& part, const request_id& request, const std::string& text)
{
    if (request.value().empty())
        LOG4CXX_INFO(loggerOf(part), text);
    else
        LOG4CXX_INFO(loggerOf(part), "[" << request.value() << "] " << text);
}

void logWarning(const std::string& part, const std::string& text)
{
    LOG4CXX_WARN(loggerOf(part), text);
}

}
