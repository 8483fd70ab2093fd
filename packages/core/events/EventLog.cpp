/** Implements the numbered log events on glog. */
#include "core/events/EventLog.h"

#include <glog/logging.h>

namespace boragetrack::core::events {

void logEvent(EventCode code, const std::string &message, std::initializer_list<EventField> fields)
{
    std::string line = "E" + std::to_string(static_cast<int>(code)) + " " + message;
    for (const auto &[name, value] : fields)
        line += std::string(" ") + name + "=" + value;
    LOG(INFO) << line;
}

void startLogging(const char *programName)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(programName);
}

} // namespace boragetrack::core::events
