/** Writes events as single lines and limits the rate of the events of calls. */
#include "core/events/EventLog.h"

#include "core/events/EventLine.h"
#include "core/events/LogRateLimiter.h"
#include "core/events/ScopedEventSink.h"
#include "core/events/StandardOutput.h"

#include <glog/logging.h>

namespace boragetrack::core::events {

namespace {

// Limits for successful calls and for all others. Together they allow some kilobytes per second;
// on a fifth of a core, writing them takes about one hundredth of the time.
constexpr double successLinesPerSecond = 20;
constexpr double otherLinesPerSecond = 60;
// Beyond both limits, so that the few calls that a change concerns are not lost among all others.
constexpr double changedRouteLinesPerSecond = 10;

LogRateLimiter &successLimiter()
{
    static LogRateLimiter limiter(successLinesPerSecond);
    return limiter;
}

LogRateLimiter &otherLimiter()
{
    static LogRateLimiter limiter(otherLinesPerSecond);
    return limiter;
}

LogRateLimiter &changedRouteLimiter()
{
    static LogRateLimiter limiter(changedRouteLinesPerSecond);
    return limiter;
}

} // namespace

void logEvent(EventCode code, std::string_view message, std::initializer_list<EventField> fields)
{
    if (EventSink *sink = ScopedEventSink::current()) {
        sink->eventLogged(code, message, fields);
        return;
    }
    StandardOutput::instance().write(eventLine(timing::currentWallTime(), code, message, fields));
}

void logCall(EventCode code, std::string_view message, bool isSuccess,
             std::initializer_list<EventField> fields)
{
    LogRateLimiter &limiter = isSuccess ? successLimiter() : otherLimiter();
    if (limiter.tryConsume(std::chrono::steady_clock::now()))
        logEvent(code, message, fields);
}

void logCallOnChangedRoute(EventCode code, std::string_view message, bool isSuccess,
                           std::initializer_list<EventField> fields)
{
    if (changedRouteLimiter().tryConsume(std::chrono::steady_clock::now()))
        logEvent(code, message, fields);
    else
        logCall(code, message, isSuccess, fields);
}

void logSuppressedLines()
{
    const std::uint64_t suppressedSuccesses = successLimiter().takeSuppressedCount();
    const std::uint64_t suppressedOthers = otherLimiter().takeSuppressedCount();
    if (suppressedSuccesses + suppressedOthers > 0)
        logEvent(EventCode::LinesLeftOut, "log lines suppressed",
                 {{"ordinary", std::to_string(suppressedSuccesses)},
                  {"other", std::to_string(suppressedOthers)},
                  {"dropped", std::to_string(StandardOutput::instance().dropped())}});
}

void startLogging(const char *programName)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(programName);
}

} // namespace boragetrack::core::events
