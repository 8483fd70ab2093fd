/** Result of a command. */
#pragma once

#include "operators/ExitCode.h"

#include <nlohmann/json.hpp>
#include <string>

namespace boragetrack::operators::commands {

/** Contains the exit code and the output in both formats. */
struct CommandResult
{
    ExitCode code = ExitCode::Success;
    /** The output without --json; may have several lines. */
    std::string text;
    /** The output with --json; the exit code and the text are added when it is printed. */
    nlohmann::json json = nlohmann::json::object();
};

} // namespace boragetrack::operators::commands
