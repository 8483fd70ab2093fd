/** The result of a command. */
#pragma once

#include "operators/ExitCode.h"

#include <nlohmann/json.hpp>
#include <string>

namespace boragetrack::operators::commands {

/** Holds what a command prints, as text and as JSON. */
struct CommandResult
{
    ExitCode code = ExitCode::Success;
    std::string text;
    nlohmann::json json = nlohmann::json::object();
};

} // namespace boragetrack::operators::commands
