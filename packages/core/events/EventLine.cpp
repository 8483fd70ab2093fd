/** Line feeds in values are replaced, so that each event stays on one line. */
#include "core/events/EventLine.h"

#include "core/events/EventLevel.h"

namespace boragetrack::core::events {

namespace {

void appendValue(std::string &line, const std::string &value)
{
    const bool isPlain = !value.empty() && value.find_first_of(" \"=\n") == std::string::npos;
    if (isPlain) {
        line += value;
        return;
    }
    line += '"';
    for (const char character : value) {
        if (character == '"' || character == '\\')
            line += '\\';
        line += character == '\n' ? ' ' : character;
    }
    line += '"';
}

} // namespace

std::string eventLine(timing::WallTime time, EventCode code, std::string_view message,
                      std::initializer_list<EventField> fields)
{
    std::string line = timing::formatWallTimeMillis(time);
    line += " ";
    line += nameOf(levelOf(code));
    line += " E" + std::to_string(static_cast<int>(code)) + " ";
    line += message;
    for (const auto &[name, value] : fields) {
        line += " ";
        line += name;
        line += "=";
        appendValue(line, value);
    }
    return line;
}

} // namespace boragetrack::core::events
