/** Implements the numbered log events. */
#include "core/events/EventLog.h"

#include "core/events/LogRateLimiter.h"
#include "core/events/StandardOutput.h"
#include "core/timing/WallTime.h"

#include <glog/logging.h>

namespace boragetrack::core::events {

namespace {

// Lines a second for calls that went well, and for the others: some kilobytes a second at most,
// which a fifth of a core writes in about a hundredth of its time.
constexpr double ordinaryLinesPerSecond = 20;
constexpr double otherLinesPerSecond = 60;

LogRateLimiter &ordinaryBudget()
{
    static LogRateLimiter budget(ordinaryLinesPerSecond);
    return budget;
}

LogRateLimiter &otherBudget()
{
    static LogRateLimiter budget(otherLinesPerSecond);
    return budget;
}

void appendValue(std::string &line, const std::string &value)
{
    const bool isPlain = !value.empty() && value.find_first_of(" \"=\n") == std::string::npos;
    if (isPlain) {
        line += value;
        return;
    }
    line += '"';
    for (const char letter : value) {
        if (letter == '"' || letter == '\\')
            line += '\\';
        line += letter == '\n' ? ' ' : letter;
    }
    line += '"';
}

} // namespace

void logEvent(EventCode code, std::string_view message, std::initializer_list<EventField> fields)
{
    std::string line = timing::formatWallTimeMillis(timing::currentWallTime()) + " E"
                       + std::to_string(static_cast<int>(code)) + " ";
    line += message;
    for (const auto &[name, value] : fields) {
        line += " ";
        line += name;
        line += "=";
        appendValue(line, value);
    }
    StandardOutput::instance().write(std::move(line));
}

void logCall(EventCode code, std::string_view message, bool isOrdinary,
             std::initializer_list<EventField> fields)
{
    LogRateLimiter &budget = isOrdinary ? ordinaryBudget() : otherBudget();
    if (budget.tryConsume(std::chrono::steady_clock::now()))
        logEvent(code, message, fields);
}

void logSuppressedLines()
{
    const std::uint64_t ordinary = ordinaryBudget().takeSuppressedCount();
    const std::uint64_t other = otherBudget().takeSuppressedCount();
    if (ordinary + other > 0)
        logEvent(EventCode::LinesLeftOut, "lines left out",
                 {{"ordinary", std::to_string(ordinary)},
                  {"other", std::to_string(other)},
                  {"dropped", std::to_string(StandardOutput::instance().dropped())}});
}

void startLogging(const char *programName)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(programName);
}

} // namespace boragetrack::core::events
