/** Takes data centres out and back. */
#pragma once

#include "operators/commands/CommandContext.h"

namespace boragetrack::operators::commands {

/** Changes whether a data centre is out. The arguments hold its name and the reason. */
CommandResult setDataCentreOut(CommandContext &context,
                               const boost::program_options::variables_map &arguments, bool isOut);

} // namespace boragetrack::operators::commands
