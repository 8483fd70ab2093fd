/** Formats events like the log of a node, with the time since the start of the simulation. */
#include "emulator/restarts/RestartLog.h"

namespace boragetrack::emulator::restarts {

using std::chrono::milliseconds;

void RestartLog::add(const std::string &line)
{
    if (!isKept_)
        return;
    const auto at
            = std::chrono::duration_cast<milliseconds>(clock_.now() - clock::EventClock::start);
    lines_.push_back(std::to_string(at.count()) + " ms node " + std::to_string(node_) + " " + line);
}

void RestartLog::eventLogged(core::events::EventCode code, std::string_view message,
                             std::initializer_list<core::events::EventField> fields)
{
    if (!isKept_)
        return;
    std::string line = "E" + std::to_string(static_cast<int>(code)) + " " + std::string(message);
    for (const auto &[name, value] : fields)
        line += " " + std::string(name) + "=" + value;
    add(line);
}

} // namespace boragetrack::emulator::restarts
